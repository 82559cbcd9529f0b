/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** Set-based selectors over labels. */
package org.larkkeel.selector;
