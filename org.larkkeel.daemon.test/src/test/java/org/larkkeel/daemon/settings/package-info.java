/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** Tests of the settings. */
package org.larkkeel.daemon.settings;
