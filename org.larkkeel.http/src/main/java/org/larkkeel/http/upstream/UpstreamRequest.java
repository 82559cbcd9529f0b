/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import com.google.common.collect.ImmutableListMultimap;
import io.undertow.util.HttpString;
import java.util.function.BooleanSupplier;

/**
 * A request to an upstream.
 *
 * <p>Safe for use by several threads as long as the body is not modified.
 *
 * @param method the HTTP method
 * @param target path and query
 * @param headers headers besides {@code Host} and {@code Content-Length}
 * @param body the body, empty for none; not copied
 * @param allowed checked on an I/O thread immediately before the first byte; if it returns false,
 *     nothing is sent
 * @since 0.1
 */
@SuppressWarnings("ArrayRecordComponent") // The bytes are passed on and never modified.
public record UpstreamRequest(
    HttpString method,
    String target,
    ImmutableListMultimap<HttpString, String> headers,
    byte[] body,
    BooleanSupplier allowed) {
  /**
   * Creates a request that may be sent at any time.
   *
   * @param method the HTTP method
   * @param target path and query
   * @param headers headers besides {@code Host} and {@code Content-Length}
   * @param body the body, empty for none; not copied
   */
  public UpstreamRequest(
      HttpString method,
      String target,
      ImmutableListMultimap<HttpString, String> headers,
      byte[] body) {
    this(method, target, headers, body, () -> true);
  }
}
