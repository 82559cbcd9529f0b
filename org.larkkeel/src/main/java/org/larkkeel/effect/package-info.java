/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** What the reducer wants done, as data for the adapters. */
package org.larkkeel.effect;
