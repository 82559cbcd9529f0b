/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

/**
 * A call, with POST, by which an upstream is told something that is no request of a caller.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param path where
 * @param body JSON text
 * @since 0.1
 */
public record ControlCall(String path, String body) {}
