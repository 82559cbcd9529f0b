/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.xnio.ssl.XnioSsl;

/**
 * How to reach one HTTP service of the platform. Immutable.
 *
 * @param base scheme, address and port, such as {@code http://127.0.0.1:8080}, never null
 * @param token reads the bearer token before each call, so that it may be replaced, never null
 * @param ssl the TLS settings, empty for plain HTTP, never null
 * @param maxConnections the largest number of pooled connections; watches have their own
 * @param timeout the longest time one call may take, waiting for a connection included
 * @param maxBodyBytes the largest answer read, in bytes
 * @since 0.1
 */
public record HttpClientOptions(
    URI base,
    Supplier<Optional<String>> token,
    Optional<XnioSsl> ssl,
    int maxConnections,
    Duration timeout,
    int maxBodyBytes) {
  /** Connections kept unless said otherwise. */
  public static final int DEFAULT_MAX_CONNECTIONS = 8;

  /** Longest time of a call unless said otherwise. */
  public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(2);

  /** Largest answer read unless said otherwise: a page of a few large objects. */
  public static final int DEFAULT_MAX_BODY_BYTES = 16 << 20;

  /**
   * Plain HTTP without a token and with the usual limits.
   *
   * @param base scheme, address and port
   * @return the options
   */
  public static HttpClientOptions of(URI base) {
    return new HttpClientOptions(
        base,
        Optional::empty,
        Optional.empty(),
        DEFAULT_MAX_CONNECTIONS,
        DEFAULT_TIMEOUT,
        DEFAULT_MAX_BODY_BYTES);
  }

  /**
   * Replaces the timeout.
   *
   * @param newTimeout the longest time one call may take
   * @return a changed copy
   */
  public HttpClientOptions withTimeout(Duration newTimeout) {
    return new HttpClientOptions(base, token, ssl, maxConnections, newTimeout, maxBodyBytes);
  }

  /**
   * Replaces the source of the bearer token.
   *
   * @param newToken reads the token before each call
   * @return a changed copy
   */
  public HttpClientOptions withToken(Supplier<Optional<String>> newToken) {
    return new HttpClientOptions(base, newToken, ssl, maxConnections, timeout, maxBodyBytes);
  }
}
