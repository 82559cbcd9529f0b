/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;

/**
 * Receives the response of an upstream.
 *
 * <p>Called sequentially, on one I/O thread at a time; must not block. Exactly one of {@link
 * #onEnd} and {@link #onFailure} is called, as the last call.
 *
 * @since 0.1
 */
public interface ResponseHandler {
  /**
   * Is notified that the request is about to be written. Called again if the request moves to
   * another connection.
   *
   * @param position the place of the request on its connection
   */
  default void onSending(ConnectionPosition position) {}

  /**
   * Receives the status and the headers.
   *
   * @param status the status code
   * @param headers the headers, valid only during the call
   * @return false if this is not the response to the request; the connection is then closed, as the
   *     responses on it are out of step, and the response ends with {@code onFailure}
   */
  boolean onHeaders(int status, HeaderMap headers);

  /**
   * Receives a part of the body.
   *
   * @param part the bytes, valid only during the call
   * @return false to abandon the rest of the response, which then ends with {@code onFailure}
   */
  boolean onBody(ByteBuffer part);

  /**
   * Returns the number of items, such as events, that the last part of the body held. The more they
   * are, the fewer bytes are read before other connections get their turn.
   */
  default int itemsInLastPart() {
    return 0;
  }

  /** Is notified that the response is complete. */
  void onEnd();

  /**
   * Is notified that there will be no complete response.
   *
   * @param failure the reason
   */
  void onFailure(UpstreamFailure failure);
}
