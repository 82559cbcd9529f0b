/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.larkkeel.http.operator.LimitStatus;
import org.larkkeel.http.operator.OperatorCodec;
import org.larkkeel.http.relay.RelayLoop;
import org.larkkeel.relay.RateLimitUsage;
import org.larkkeel.relay.RelayRouter;

/**
 * Operator endpoint that lists the rate limits announced by upstreams and this node's usage of
 * each.
 *
 * <p>Used on the router's thread only.
 */
final class LimitAdmin implements HttpHandler {
  private final RelayLoop loop;
  private final RelayRouter router;

  LimitAdmin(RelayLoop loop, RelayRouter router) {
    this.loop = loop;
    this.router = router;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    List<LimitStatus.Entry> limits =
        router.rateLimitUsages(loop.now()).stream().map(LimitAdmin::entry).toList();
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    byte[] body = OperatorCodec.write(new LimitStatus(limits));
    exchange.getResponseSender().send(ByteBuffer.wrap(body));
  }

  private static LimitStatus.Entry entry(RateLimitUsage usage) {
    return new LimitStatus.Entry(
        usage.upstream().name().value(),
        usage.upstream().incarnation().value(),
        usage.limit().perSecond(),
        TimeUnit.NANOSECONDS.toMillis(usage.ageNanos()),
        usage.sent());
  }
}
