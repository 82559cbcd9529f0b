/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** The daemon {@code larkkeeld}: the reducer loop and the adapters of a node, and their wiring. */
package org.larkkeel.daemon;
