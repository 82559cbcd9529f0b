/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

/**
 * Limits of the relay's requests to upstreams.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param connectMillis the maximum time until a connection is available and the request is written,
 *     milliseconds
 * @param maxAnswerBytes the maximum size of an answer that is not a stream
 * @param maxAnswersBytes the maximum total size of all such answers that are being read
 * @since 0.1
 */
public record RelayClientSettings(long connectMillis, int maxAnswerBytes, long maxAnswersBytes) {
  /** Defaults for small answers within one region. */
  public static final RelayClientSettings DEFAULT =
      new RelayClientSettings(600, 8 << 20, 16L << 20);
}
