/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** Opaque requests over HTTP: their listener, their sending to upstreams, and the loop between. */
package org.larkkeel.http.relay;
