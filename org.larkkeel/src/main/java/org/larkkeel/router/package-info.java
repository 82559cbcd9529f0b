/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * The router: a pure, single-threaded reducer from events to effects that places requests on
 * upstreams.
 */
package org.larkkeel.router;
