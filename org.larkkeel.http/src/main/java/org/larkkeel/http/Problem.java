/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.Slugs;

/**
 * The problem details (RFC 9457) of an error that is sent to a caller.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param kind the kind of error, which determines status, title, whether the request ran, and
 *     whether it may be retried
 * @param detail one sentence about this occurrence; must contain no secrets
 * @param requestId the id of the request as the caller knows it; empty if there is none
 * @param retryAfterMillis the delay after which the caller may retry, milliseconds; 0 for no advice
 * @since 0.1
 */
public record Problem(ErrorKind kind, String detail, String requestId, long retryAfterMillis) {
  /** The media type of the body. */
  public static final String MEDIA_TYPE = "application/problem+json";

  /** The prefix of every problem type URI. */
  public static final String TYPE_PREFIX = "https://larkkeel.org/problems/";

  private static final long MILLIS_PER_SECOND = 1_000;

  /**
   * Creates a problem without a {@code Retry-After} delay.
   *
   * @param kind the kind
   * @param detail one sentence about this occurrence
   * @param requestId the id of the request as the caller knows it; empty if there is none
   * @return the problem
   */
  public static Problem of(ErrorKind kind, String detail, String requestId) {
    return new Problem(kind, detail, requestId, 0);
  }

  /**
   * Returns the body as a JSON object.
   *
   * @return a new object that the caller may extend
   */
  public ObjectNode json() {
    ObjectNode body = Json.object();
    body.put("type", TYPE_PREFIX + kind.slug());
    body.put("title", kind.title());
    body.put("status", kind.status());
    body.put("detail", detail);
    body.put("execution", Slugs.of(kind.execution()));
    body.put("repeat", Slugs.of(kind.repeat()));
    body.put("remedy", kind.remedy());
    if (!requestId.isEmpty()) {
      body.put("requestId", requestId);
    }
    return body;
  }

  /**
   * Returns the serialized body.
   *
   * @return JSON in UTF-8
   */
  public byte[] bytes() {
    return Json.bytes(json());
  }

  /**
   * Returns the value of the {@code Retry-After} header.
   *
   * @return the delay in seconds, rounded up; 0 if the header must be omitted
   */
  public long retryAfterSeconds() {
    return (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
  }

  /**
   * Sets the status and headers of an answer that has not been started.
   *
   * @param exchange the exchange
   */
  public void setHeaders(HttpServerExchange exchange) {
    exchange.setStatusCode(kind.status());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, MEDIA_TYPE);
    if (!requestId.isEmpty()) {
      exchange.getResponseHeaders().put(HeaderNames.REQUEST_ID, requestId);
    }
    if (retryAfterMillis > 0) {
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfterSeconds());
    }
  }

  /**
   * Sends this problem as the answer to an exchange, and ends the exchange. The answer must not
   * have been started.
   *
   * @param exchange the exchange
   */
  public void send(HttpServerExchange exchange) {
    setHeaders(exchange);
    exchange.getResponseSender().send(ByteBuffer.wrap(bytes()));
  }
}
