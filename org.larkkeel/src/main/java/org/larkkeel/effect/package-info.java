/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** The actions that the reducer requests, as data for the adapters. */
package org.larkkeel.effect;
