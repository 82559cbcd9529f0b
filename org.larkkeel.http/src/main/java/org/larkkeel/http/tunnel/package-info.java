/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Tunnels between nodes: a node without a path to an upstream opens connections to it through a
 * node that has one.
 */
package org.larkkeel.http.tunnel;
