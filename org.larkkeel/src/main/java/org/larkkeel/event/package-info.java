/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** Everything that can happen to a node, as data for the reducer. */
package org.larkkeel.event;
