/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** The settings of a node: their keys, types, checks and explanations. */
package org.larkkeel.daemon.settings;
