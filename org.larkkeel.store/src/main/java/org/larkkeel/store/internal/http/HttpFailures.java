/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.ObjectApiFailure;
import org.larkkeel.store.internal.http.HttpCallException.Sent;

/** Maps error responses and failed calls to failures of the object API. Stateless. */
public final class HttpFailures {
  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);
  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(60);
  private static final int MAX_DETAIL_CHARS = 300;

  private HttpFailures() {}

  /** Returns the failure for a response with an error status. */
  public static ObjectApiException of(Effect effect, String call, HttpReply reply) {
    String body = new String(reply.body(), StandardCharsets.UTF_8);
    String detail = call + ": " + reply.status() + " " + shorten(body);
    return new ObjectApiException(failure(effect, reply, body), detail);
  }

  /** Returns the failure for a call that received no complete response. */
  public static ObjectApiException of(Effect effect, String call, Throwable cause) {
    boolean sent = !(cause instanceof HttpCallException e) || e.sent() == Sent.MAYBE;
    ObjectApiFailure f = sent ? withoutResponse(effect) : new ObjectApiFailure.Unavailable();
    return new ObjectApiException(f, call + ": " + cause.getMessage());
  }

  private static ObjectApiFailure failure(Effect effect, HttpReply reply, String body) {
    return switch (reply.status()) {
      case StatusCodes.NOT_FOUND -> new ObjectApiFailure.NotFound();
      case StatusCodes.CONFLICT ->
          body.contains("\"AlreadyExists\"")
              ? new ObjectApiFailure.AlreadyExists()
              : new ObjectApiFailure.Conflict();
      case StatusCodes.GONE -> new ObjectApiFailure.Expired();
      case StatusCodes.REQUEST_ENTITY_TOO_LARGE -> new ObjectApiFailure.TooLarge();
      case StatusCodes.TOO_MANY_REQUESTS ->
          new ObjectApiFailure.Throttled(retryAfter(reply.header(Headers.RETRY_AFTER)));
      case StatusCodes.SERVICE_UNAVAILABLE -> new ObjectApiFailure.Unavailable();
      default ->
          reply.status() >= StatusCodes.INTERNAL_SERVER_ERROR
              ? withoutResponse(effect)
              : new ObjectApiFailure.Refused(reply.status());
    };
  }

  private static ObjectApiFailure withoutResponse(Effect effect) {
    return switch (effect) {
      case READ -> new ObjectApiFailure.Unavailable();
      case WRITE -> new ObjectApiFailure.OutcomeUnknown();
    };
  }

  static Duration retryAfter(Optional<String> value) {
    try {
      Duration d = value.map(Long::parseLong).map(Duration::ofSeconds).orElse(DEFAULT_RETRY_AFTER);
      return d.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : d;
    } catch (NumberFormatException e) {
      return DEFAULT_RETRY_AFTER;
    }
  }

  private static String shorten(String s) {
    return s.length() <= MAX_DETAIL_CHARS ? s : s.substring(0, MAX_DETAIL_CHARS);
  }

  /** The effect that a call may have at the service. */
  public enum Effect {
    /** The call changes nothing. */
    READ,
    /** The call may change an object. */
    WRITE
  }
}
