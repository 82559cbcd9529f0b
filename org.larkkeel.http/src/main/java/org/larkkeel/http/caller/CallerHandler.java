/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.caller;

import com.google.common.collect.ImmutableSet;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.event.Event;
import org.larkkeel.http.BearerToken;
import org.larkkeel.http.HeaderNames;
import org.larkkeel.http.Problem;
import org.larkkeel.http.request.RequestRecord;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.WorkspaceName;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the HTTP requests of callers: health, readiness, metrics, and requests to be routed.
 *
 * <p>Called on I/O threads; never blocks. Safe for use by several threads.
 */
final class CallerHandler implements HttpHandler {
  private static final Logger LOG = LoggerFactory.getLogger(CallerHandler.class);
  private static final String HEALTH = "/healthz";
  private static final String READINESS = "/readyz";
  private static final String METRICS = "/metrics";
  private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";
  private static final ImmutableSet<HttpString> REJECTED_METHODS =
      ImmutableSet.of(Methods.CONNECT, Methods.TRACE);
  private static final int MAX_REQUEST_ID_LENGTH = 128;

  private final CallerSettings settings;
  private final CallerServices services;
  private final BodyReader bodies;

  CallerHandler(CallerSettings settings, CallerServices services) {
    this.settings = settings;
    this.services = services;
    this.bodies = new BodyReader(settings);
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    switch (exchange.getRequestPath()) {
      case HEALTH -> sendText(exchange, StatusCodes.OK, "ok\n");
      case READINESS -> sendReadiness(exchange);
      case METRICS -> sendMetrics(exchange);
      default -> handleRouted(exchange);
    }
  }

  private void sendReadiness(HttpServerExchange exchange) {
    if (services.ready().getAsBoolean()) {
      sendText(exchange, StatusCodes.OK, "ready\n");
    } else {
      sendText(exchange, StatusCodes.SERVICE_UNAVAILABLE, "not ready\n");
    }
  }

  private void sendMetrics(HttpServerExchange exchange) {
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, METRICS_TYPE);
    exchange.getResponseSender().send(services.scrape().get());
  }

  private static void sendText(HttpServerExchange exchange, int status, String text) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; charset=utf-8");
    exchange.getResponseSender().send(text);
  }

  private void handleRouted(HttpServerExchange exchange) {
    RequestId id = services.table().nextId();
    String wireId = wireId(exchange, id);
    exchange.getResponseHeaders().put(HeaderNames.REQUEST_ID, wireId);
    try {
      checkMethod(exchange);
      WorkspaceName workspace = workspace(exchange);
      bodies.read(exchange, wireId, body -> accept(exchange, id, wireId, workspace, body));
    } catch (LarkkeelException e) {
      refuse(exchange, wireId, e);
    }
  }

  private void accept(
      HttpServerExchange exchange,
      RequestId id,
      String wireId,
      WorkspaceName workspace,
      BodyReader.Body body) {
    UndertowChannel channel = new UndertowChannel(exchange, settings, body.release());
    RequestRecord request;
    try {
      ParsedHead head = ParsedHead.of(exchange, body.bytes());
      request =
          RequestParser.isCompletion(exchange.getRequestPath())
              ? CompletionParser.parse(
                  exchange.getRequestPath(),
                  new RequestParser.Identity(id, wireId, workspace),
                  head,
                  body.bytes(),
                  channel,
                  services.wallClock().instant().getEpochSecond())
              : RequestParser.plain(
                  exchange,
                  new RequestParser.Identity(id, wireId, workspace),
                  head,
                  body.bytes(),
                  channel);
    } catch (LarkkeelException e) {
      Problem problem = Problem.of(e.kind(), e.getMessage(), wireId);
      exchange.dispatch(SameThreadExecutor.INSTANCE, () -> channel.refuse(problem));
      return;
    }
    services.table().add(request);
    channel.onDisconnect(() -> submitCallerGone(id));
    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> submitArrival(request, channel));
  }

  private void submitArrival(RequestRecord request, UndertowChannel channel) {
    channel.watchForDisconnect();
    services
        .events()
        .accept(new Event.RequestArrived(services.clock().getAsLong(), request.call()));
  }

  private void submitCallerGone(RequestId id) {
    if (services.table().find(id).isPresent()) {
      services.events().accept(new Event.CallerGone(services.clock().getAsLong(), id));
    }
  }

  private static void checkMethod(HttpServerExchange exchange) {
    HttpString method = exchange.getRequestMethod();
    boolean completion = RequestParser.isCompletion(exchange.getRequestPath());
    if (completion && !method.equals(Methods.POST)) {
      exchange.getResponseHeaders().put(Headers.ALLOW, Methods.POST_STRING);
      throw new LarkkeelException(
          ErrorKind.METHOD_NOT_ALLOWED, "The method is " + method + ": use POST.");
    }
    if (REJECTED_METHODS.contains(method)) {
      throw new LarkkeelException(
          ErrorKind.METHOD_NOT_ALLOWED, "The method " + method + " is not routed.");
    }
  }

  private WorkspaceName workspace(HttpServerExchange exchange) {
    Workspaces workspaces = services.workspaces().get();
    if (workspaces.isEmpty()) {
      throw new LarkkeelException(ErrorKind.NOT_READY, "This node has no configuration yet.");
    }
    String name = exchange.getRequestHeaders().getFirst(HeaderNames.WORKSPACE);
    return BearerToken.of(exchange.getRequestHeaders())
        .flatMap(workspaces::of)
        .or(() -> workspaces.open(name))
        .orElseThrow(
            () ->
                new LarkkeelException(
                    ErrorKind.UNAUTHENTICATED,
                    "Send the workspace's token as Authorization: Bearer, or name a workspace"
                        + " without a token in X-Larkkeel-Workspace."));
  }

  private String wireId(HttpServerExchange exchange, RequestId id) {
    String sent = exchange.getRequestHeaders().getFirst(HeaderNames.REQUEST_ID);
    if (sent != null && isValidRequestId(sent)) {
      return sent;
    }
    return services.origin().host() + "/" + services.origin().incarnation() + "/" + id;
  }

  private static boolean isValidRequestId(String id) {
    return !id.isEmpty()
        && id.length() <= MAX_REQUEST_ID_LENGTH
        && id.chars().allMatch(c -> c > ' ' && c <= '~');
  }

  private static void refuse(HttpServerExchange exchange, String wireId, LarkkeelException e) {
    LOG.debug("event=request_refused request={} kind={}", wireId, e.kind().slug());
    Problem.of(e.kind(), e.getMessage(), wireId).send(exchange);
  }
}
