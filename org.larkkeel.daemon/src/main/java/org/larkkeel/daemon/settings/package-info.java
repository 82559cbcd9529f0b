/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** The settings of a node: keys, types, validation and the commented default file. */
package org.larkkeel.daemon.settings;
