/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** Ids, small immutable values and the utilities that all other packages share. */
package org.larkkeel.lib;
