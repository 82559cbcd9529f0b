/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.call;

import org.larkkeel.lib.IdempotencyKey;

/**
 * The key of a request that must run at most once, with a digest of the request.
 *
 * <p>Invariant: the same key with another digest is a different request, which is refused.
 * Immutable and safe for use by several threads.
 *
 * @param key the caller's key, unique within its workspace
 * @param bodyDigest the first 8 bytes of the SHA-256 digest of method, path and body
 * @since 0.1
 */
public record RunKey(IdempotencyKey key, long bodyDigest) {}
