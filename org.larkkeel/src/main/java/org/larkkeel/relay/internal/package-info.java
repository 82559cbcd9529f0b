/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Implementation of the relay router's reducer: admission, placement, reservations, attempts,
 * retries, quarantine and evacuation. Internal; not part of the API.
 */
package org.larkkeel.relay.internal;
