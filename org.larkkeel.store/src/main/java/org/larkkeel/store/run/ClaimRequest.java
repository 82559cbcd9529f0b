/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

/**
 * A claim to run a request: asks the owner of the request's shard for the exclusive right to send
 * it. Immutable.
 *
 * @param key the identity of the request, never null
 * @param bodyDigest a digest of method, path and body, never null
 * @param token the ID of the attempt, never null
 * @since 0.1
 */
public record ClaimRequest(RunId key, String bodyDigest, RunToken token) {}
