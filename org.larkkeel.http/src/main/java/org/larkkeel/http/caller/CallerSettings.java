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
 * Limits and address of the listener towards callers.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param bind IP number and port; port 0 takes a free one
 * @param tls makes the TLS context, at the start and at each reload; empty for plain HTTP
 * @param maxBodyBytes the largest request body
 * @param maxBodiesBytes the most that bodies of all requests in progress may take together
 * @param maxPendingBytes the most that waits for one caller to read its stream
 * @param headerMillis a request whose headers are not complete after this time is dropped
 * @param bodyMillis a request whose body is not complete after this time is refused
 * @param idleMillis a connection without a request is closed after this time
 * @param stallMillis a caller that reads nothing for this time is cut off
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
   * Settings with the default limits and without TLS.
   *
   * @param bind IP number and port
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
   * Sets TLS.
   *
   * @param context makes the TLS context, at the start and at each reload
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
   * Sets the limits of bodies and streams.
   *
   * @param body the largest request body, bytes
   * @param bodies the most that all bodies may take together, bytes
   * @param pending the most that waits for one caller, bytes
   * @return a copy with these limits
   */
  public CallerSettings withSizes(int body, long bodies, int pending) {
    return new CallerSettings(
        bind, tls, body, bodies, pending, headerMillis, bodyMillis, idleMillis, stallMillis);
  }

  /**
   * Sets the timeouts.
   *
   * @param header for the headers, milliseconds
   * @param body for the body, milliseconds
   * @param idle for a connection without a request, milliseconds
   * @param stall for a caller that reads nothing, milliseconds
   * @return a copy with these timeouts
   */
  public CallerSettings withTimeouts(int header, int body, int idle, int stall) {
    return new CallerSettings(
        bind, tls, maxBodyBytes, maxBodiesBytes, maxPendingBytes, header, body, idle, stall);
  }
}
