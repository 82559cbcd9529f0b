/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** The daemon {@code larkkeeld}: settings, the reducer's loop, the wiring of all adapters. */
package org.larkkeel.daemon;
