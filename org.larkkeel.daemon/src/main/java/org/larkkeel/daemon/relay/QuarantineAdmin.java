/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.http.Problem;
import org.larkkeel.http.operator.OperatorCodec;
import org.larkkeel.http.operator.OperatorPaths;
import org.larkkeel.http.operator.QuarantineStatus;
import org.larkkeel.http.relay.RelayLoop;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.relay.CrashSuspect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayRouter;

/**
 * Operator endpoint that lists the requests in progress when upstreams crashed and the parts that
 * their prompts share, and releases one from quarantine on all nodes.
 *
 * <p>Used on the router's thread only.
 */
final class QuarantineAdmin implements HttpHandler {
  private static final String JSON = "application/json";

  private final RelayLoop loop;
  private final RelayRouter router;

  QuarantineAdmin(RelayLoop loop, RelayRouter router) {
    this.loop = loop;
    this.router = router;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    String subPath = exchange.getRequestPath().substring(OperatorPaths.QUARANTINE.length());
    if (subPath.isEmpty() && exchange.getRequestMethod().equals(Methods.GET)) {
      list(exchange);
    } else if (subPath.startsWith("/") && exchange.getRequestMethod().equals(Methods.DELETE)) {
      release(exchange, subPath.substring(1));
    } else {
      refuse(exchange, ErrorKind.METHOD_NOT_ALLOWED, "use GET, or DELETE of a request");
    }
  }

  private void list(HttpServerExchange exchange) {
    long now = loop.now();
    List<QuarantineStatus.Entry> requests =
        router.suspects(now).stream()
            .filter(s -> !s.crashes().isEmpty())
            .map(s -> entry(s, router.remainingQuarantineNanos(now, s.id())))
            .toList();
    answer(exchange, StatusCodes.OK, JSON, OperatorCodec.write(new QuarantineStatus(requests)));
  }

  private static QuarantineStatus.Entry entry(CrashSuspect s, long remainingNanos) {
    return new QuarantineStatus.Entry(
        s.id().toString(),
        s.scope().word(),
        TimeUnit.NANOSECONDS.toMillis(remainingNanos),
        TimeUnit.NANOSECONDS.toMillis(
            s.crashes().values().stream()
                .mapToLong(CrashSuspect.Crash::ageNanos)
                .min()
                .orElseThrow()),
        s.crashes().keySet().stream()
            .map(Object::toString)
            .collect(ImmutableList.toImmutableList()));
  }

  private void release(HttpServerExchange exchange, String text) {
    Optional<Fingerprint> request = parse(text);
    if (request.isEmpty()) {
      refuse(exchange, ErrorKind.MALFORMED_REQUEST, "the request is 32 hexadecimal digits");
    } else if (isKnown(request.get())) {
      loop.submit(new RelayEvent.Released(loop.now(), request.get()));
      list(exchange);
    } else {
      refuse(exchange, ErrorKind.NOT_FOUND, "no upstream is known to have ended under " + text);
    }
  }

  private boolean isKnown(Fingerprint request) {
    return router.suspects(loop.now()).stream()
        .anyMatch(s -> s.id().equals(request) && !s.crashes().isEmpty());
  }

  private static Optional<Fingerprint> parse(String text) {
    try {
      return Optional.of(Fingerprint.parse(text));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static void refuse(HttpServerExchange exchange, ErrorKind kind, String detail) {
    answer(exchange, kind.status(), Problem.MEDIA_TYPE, Problem.of(kind, detail, "").bytes());
  }

  private static void answer(HttpServerExchange exchange, int status, String type, byte[] body) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
    exchange.getResponseSender().send(ByteBuffer.wrap(body));
  }
}
