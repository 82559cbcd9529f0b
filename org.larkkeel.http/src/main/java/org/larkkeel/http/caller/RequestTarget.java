/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.caller;

import io.undertow.server.HttpServerExchange;
import java.net.URI;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;

/**
 * Reads the target of a request: its path and query.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class RequestTarget {
  private RequestTarget() {}

  /**
   * Returns the target of a request.
   *
   * @return the path and query as they were sent, not decoded
   * @throws LarkkeelException if the request has an absolute URI that cannot be parsed
   */
  public static String of(HttpServerExchange exchange) {
    String path = exchange.getRequestURI();
    if (exchange.isHostIncludedInRequestURI()) {
      path = rawPath(path);
    }
    String query = exchange.getQueryString();
    return query.isEmpty() ? path : path + "?" + query;
  }

  private static String rawPath(String uri) {
    try {
      String path = URI.create(uri).getRawPath();
      return path.isEmpty() ? "/" : path;
    } catch (IllegalArgumentException e) {
      throw new LarkkeelException(
          ErrorKind.MALFORMED_REQUEST, "The request target can not be read.", e);
    }
  }
}
