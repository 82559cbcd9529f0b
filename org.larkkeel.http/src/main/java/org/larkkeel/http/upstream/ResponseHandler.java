/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;

/**
 * Takes the answer of an upstream.
 *
 * <p>Called on one I/O thread at a time, in order; must not block. Exactly one of {@link #onEnd}
 * and {@link #onFailure} is called, as the last call.
 *
 * @since 0.1
 */
public interface ResponseHandler {
  /**
   * Takes status and headers.
   *
   * @param status the status code
   * @param headers the headers, valid during the call
   */
  void onHeaders(int status, HeaderMap headers);

  /**
   * Takes a part of the body.
   *
   * @param part the bytes, valid during the call
   * @return false to give up the rest of the answer, which then ends with {@code onFailure}
   */
  boolean onBody(ByteBuffer part);

  /** The answer is complete. */
  void onEnd();

  /**
   * There is no complete answer.
   *
   * @param failure why
   */
  void onFailure(UpstreamFailure failure);
}
