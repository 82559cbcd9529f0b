/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

/**
 * Bounds of the relay's sending.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param connectMillis how long a connection is waited for
 * @param maxAnswerBytes the largest answer that is not a stream
 * @since 0.1
 */
public record RelayClientSettings(long connectMillis, int maxAnswerBytes) {
  /** What fits small answers in one region. */
  public static final RelayClientSettings DEFAULT = new RelayClientSettings(600, 8 << 20);
}
