/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** The parts of the relay's reducer; no API. */
package org.larkkeel.relay.internal;
