/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.caller;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Supplier;
import javax.net.ssl.SSLContext;

/**
 * The address, limits and timeouts of the listener for callers.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param bind the IP address and port to bind; port 0 selects a free port
 * @param tls creates the TLS context, at the start and at each reload; empty for plain HTTP
 * @param maxBodyBytes the maximum size of a request body
 * @param maxBodiesBytes the maximum total size of the bodies of all requests in progress
 * @param maxPendingBytes the maximum number of bytes of a stream that are buffered for one caller
 * @param headerMillis the time after which the connection of a request with incomplete headers is
 *     closed
 * @param bodyMillis the time after which a request with an incomplete body is refused
 * @param idleMillis the time after which a connection without a request is closed
 * @param stallMillis the time after which the connection of a caller that reads nothing is closed
 * @since 0.1
 */
public record CallerSettings(
    InetSocketAddress bind,
    Optional<Supplier<SSLContext>> tls,
    int maxBodyBytes,
    long maxBodiesBytes,
    int maxPendingBytes,
    int headerMillis,
    int bodyMillis,
    int idleMillis,
    int stallMillis) {
  private static final int DEFAULT_MAX_BODY_BYTES = 2 << 20;
  private static final long DEFAULT_MAX_BODIES_BYTES = 96L << 20;
  private static final int DEFAULT_MAX_PENDING_BYTES = 512 << 10;
  private static final int DEFAULT_HEADER_MILLIS = 10_000;
  private static final int DEFAULT_BODY_MILLIS = 30_000;
  private static final int DEFAULT_IDLE_MILLIS = 60_000;
  private static final int DEFAULT_STALL_MILLIS = 10_000;

  /**
   * Returns settings with the default limits and without TLS.
   *
   * @param bind the IP address and port to bind
   * @return the settings
   */
  public static CallerSettings on(InetSocketAddress bind) {
    return new CallerSettings(
        bind,
        Optional.empty(),
        DEFAULT_MAX_BODY_BYTES,
        DEFAULT_MAX_BODIES_BYTES,
        DEFAULT_MAX_PENDING_BYTES,
        DEFAULT_HEADER_MILLIS,
        DEFAULT_BODY_MILLIS,
        DEFAULT_IDLE_MILLIS,
        DEFAULT_STALL_MILLIS);
  }

  /**
   * Returns a copy that uses TLS.
   *
   * @param context creates the TLS context, at the start and at each reload
   * @return a copy with TLS
   */
  public CallerSettings withTls(Supplier<SSLContext> context) {
    return new CallerSettings(
        bind,
        Optional.of(context),
        maxBodyBytes,
        maxBodiesBytes,
        maxPendingBytes,
        headerMillis,
        bodyMillis,
        idleMillis,
        stallMillis);
  }

  /**
   * Returns a copy with other limits on bodies and streams.
   *
   * @param body the maximum size of a request body, bytes
   * @param bodies the maximum total size of all request bodies, bytes
   * @param pending the maximum number of bytes buffered for one caller
   * @return a copy with these limits
   */
  public CallerSettings withSizes(int body, long bodies, int pending) {
    return new CallerSettings(
        bind, tls, body, bodies, pending, headerMillis, bodyMillis, idleMillis, stallMillis);
  }

  /**
   * Returns a copy with other timeouts.
   *
   * @param header the timeout for complete headers, milliseconds
   * @param body the timeout for a complete body, milliseconds
   * @param idle the timeout of a connection without a request, milliseconds
   * @param stall the timeout of a caller that reads nothing, milliseconds
   * @return a copy with these timeouts
   */
  public CallerSettings withTimeouts(int header, int body, int idle, int stall) {
    return new CallerSettings(
        bind, tls, maxBodyBytes, maxBodiesBytes, maxPendingBytes, header, body, idle, stall);
  }
}
