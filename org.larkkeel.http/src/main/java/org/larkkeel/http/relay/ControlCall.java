/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

/**
 * A POST request of the relay itself to an upstream, not made for the answer of a caller.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param path the path
 * @param body the body, JSON
 * @since 0.1
 */
public record ControlCall(String path, String body) {}
