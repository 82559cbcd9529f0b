/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** The inputs of the reducer: everything that can happen to a node, as data. */
package org.larkkeel.event;
