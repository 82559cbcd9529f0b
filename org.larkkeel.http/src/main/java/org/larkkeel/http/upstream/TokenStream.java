/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

/**
 * Takes the tokens of a decode.
 *
 * <p>Called on one I/O thread, in order. Exactly one of {@link #onDone} and {@link #onFailure} is
 * the last call.
 *
 * @since 0.1
 */
public interface TokenStream {
  /**
   * Takes a token.
   *
   * @param token the token
   * @return false to give up the stream, which then ends with {@code onFailure}
   */
  boolean onToken(Token token);

  /** The stream is complete. */
  void onDone();

  /**
   * The stream ended early.
   *
   * @param failure why
   */
  void onFailure(UpstreamFailure failure);
}
