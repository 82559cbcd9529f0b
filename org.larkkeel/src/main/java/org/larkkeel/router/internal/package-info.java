/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** Parts of the router, one job each; not for use from outside. */
package org.larkkeel.router.internal;
