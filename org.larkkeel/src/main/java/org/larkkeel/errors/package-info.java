/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** The closed list of error kinds and the answer to each kind. */
package org.larkkeel.errors;
