/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

/**
 * Receives the tokens of a decode.
 *
 * <p>Called on one I/O thread, in order. Exactly one of {@link #onDone} and {@link #onFailure} is
 * the last call.
 *
 * @since 0.1
 */
public interface TokenHandler {
  /**
   * Receives a token.
   *
   * @param token the token
   * @return false to abandon the stream, which then ends with {@code onFailure}
   */
  boolean onToken(Token token);

  /** Is notified that the stream is complete. */
  void onDone();

  /**
   * Is notified that the stream ended early.
   *
   * @param failure the reason
   */
  void onFailure(UpstreamFailure failure);
}
