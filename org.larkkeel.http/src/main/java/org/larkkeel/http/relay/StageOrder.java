/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

/**
 * A call, with POST, that orders an upstream to take another part of the work.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param path where
 * @param body JSON text
 * @since 0.1
 */
public record StageOrder(String path, String body) {}
