/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Optional;

/**
 * A complete response.
 *
 * @param status the HTTP status
 * @param headers the headers; must not be modified
 * @param body the body, owned by the reply
 */
public record HttpReply(int status, HeaderMap headers, byte[] body) {
  /** Returns the first value of a header, empty if the header is absent. */
  public Optional<String> header(HttpString name) {
    return Optional.ofNullable(headers.getFirst(name));
  }

  /**
   * Returns whether the body was ended by the connection only, so that a part of it may be missing.
   */
  public boolean endsWithConnection() {
    return !headers.contains(Headers.CONTENT_LENGTH)
        && !Headers.CHUNKED
            .toString()
            .equalsIgnoreCase(headers.getFirst(Headers.TRANSFER_ENCODING));
  }
}
