/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** Tests of the relay node's parts. */
package org.larkkeel.daemon.relay;
