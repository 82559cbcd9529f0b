/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** The configuration that operators apply: upstreams, pools, rules and workspaces. */
package org.larkkeel.config;
