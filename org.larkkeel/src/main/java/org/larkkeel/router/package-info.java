/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * The router core: a pure, single-threaded reducer that maps events to effects and places requests
 * at upstreams.
 */
package org.larkkeel.router;
