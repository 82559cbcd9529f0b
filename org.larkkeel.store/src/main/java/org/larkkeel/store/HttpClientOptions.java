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
 * The address, credentials and limits of a client of one HTTP service of the platform. Immutable.
 *
 * @param base scheme, address and port, such as {@code http://127.0.0.1:8080}, never null
 * @param token supplies the bearer token before each call, so that it may be rotated, never null
 * @param ssl the TLS settings, empty for plain HTTP, never null
 * @param maxConnections the maximum number of pooled connections; watches use connections outside
 *     the pool
 * @param timeout the maximum time until the begin of an answer, including the wait for a
 *     connection, and for each pause within it
 * @param maxBodyBytes the maximum size of an answer, in bytes
 * @since 0.1
 */
public record HttpClientOptions(
    URI base,
    Supplier<Optional<String>> token,
    Optional<XnioSsl> ssl,
    int maxConnections,
    Duration timeout,
    int maxBodyBytes) {
  /** The default maximum number of pooled connections. */
  public static final int DEFAULT_MAX_CONNECTIONS = 8;

  /** The default timeout of a call. */
  public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(2);

  /** The default maximum size of an answer, in bytes: enough for a page of a few large objects. */
  public static final int DEFAULT_MAX_BODY_BYTES = 16 << 20;

  /**
   * Returns options for plain HTTP without a token and with the default limits.
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
   * Returns a copy with another timeout.
   *
   * @param newTimeout the maximum duration of one call
   * @return the copy
   */
  public HttpClientOptions withTimeout(Duration newTimeout) {
    return new HttpClientOptions(base, token, ssl, maxConnections, newTimeout, maxBodyBytes);
  }

  /**
   * Returns a copy with another source of the bearer token.
   *
   * @param newToken supplies the token before each call
   * @return the copy
   */
  public HttpClientOptions withToken(Supplier<Optional<String>> newToken) {
    return new HttpClientOptions(base, newToken, ssl, maxConnections, timeout, maxBodyBytes);
  }
}
