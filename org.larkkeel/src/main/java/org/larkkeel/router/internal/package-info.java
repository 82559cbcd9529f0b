/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** The components of the router; not for use outside the router package. */
package org.larkkeel.router.internal;
