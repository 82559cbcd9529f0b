/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

/**
 * A wish to run a request. Immutable.
 *
 * @param key the request's key, never null
 * @param bodyDigest a digest of method, path and body, never null
 * @param token names the attempt, never null
 * @since 0.1
 */
public record ClaimRequest(RunId key, String bodyDigest, RunToken token) {}
