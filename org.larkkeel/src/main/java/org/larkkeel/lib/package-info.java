/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** Ids, small immutable values, and the few tools that every other package shares. */
package org.larkkeel.lib;
