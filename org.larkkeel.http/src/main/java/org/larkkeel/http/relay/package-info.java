/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Relay of opaque HTTP requests: the listener for callers, the requests to upstreams, and the event
 * loop of the router.
 */
package org.larkkeel.http.relay;
