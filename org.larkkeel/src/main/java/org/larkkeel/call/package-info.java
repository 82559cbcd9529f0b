/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** The requests of callers, as the reducer sees them. */
package org.larkkeel.call;
