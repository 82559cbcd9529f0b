/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.larkkeel.config.Change;
import org.larkkeel.config.ChangeCodec;
import org.larkkeel.config.Checked;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.http.Problem;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The HTTP handler that exposes an {@link OperatorService}.
 *
 * <p>Every request needs a bearer token whose role permits the operation. Tokens are never logged.
 * Safe for use by several threads.
 *
 * @since 0.1
 */
public final class OperatorApi implements HttpHandler {
  private static final Logger log = LoggerFactory.getLogger(OperatorApi.class);

  /** The maximum size of a change, which must fit into one object of the platform's object API. */
  private static final int MAX_BODY_BYTES = 1 << 20;

  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(30);
  private static final String JSON = "application/json";
  private static final String NO_STORE = "no-store";
  private static final String RETRY_AFTER_SECONDS = "1";

  private final OperatorService service;
  private final OperatorTokens tokens;
  private final InstantSource clock;

  /**
   * Creates the handler.
   *
   * @param service carries out the operations
   * @param tokens the accepted tokens and their roles
   * @param clock the time source for accepted changes
   */
  public OperatorApi(OperatorService service, OperatorTokens tokens, InstantSource clock) {
    this.service = service;
    this.tokens = tokens;
    this.clock = clock;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    try {
      Endpoint endpoint = findEndpoint(exchange);
      QueryReader query = new QueryReader(exchange);
      Principal principal = authorise(exchange, endpoint, query);
      handle(exchange, endpoint, query, principal);
    } catch (LarkkeelException e) {
      exchange.setPersistent(false);
      sendFailure(exchange, "none", e);
    }
  }

  private static Endpoint findEndpoint(HttpServerExchange exchange) {
    String path = exchange.getRequestPath();
    Optional<Endpoint> endpoint = Endpoint.find(exchange.getRequestMethod(), path);
    if (endpoint.isPresent()) {
      return endpoint.get();
    }
    String allowedMethods = Endpoint.allowedMethods(path);
    if (allowedMethods.isEmpty()) {
      throw new LarkkeelException(ErrorKind.NOT_FOUND, "There is no path " + path + ".");
    }
    exchange.getResponseHeaders().put(Headers.ALLOW, allowedMethods);
    throw new LarkkeelException(
        ErrorKind.METHOD_NOT_ALLOWED, path + " takes " + allowedMethods + " only.");
  }

  private Principal authorise(HttpServerExchange exchange, Endpoint endpoint, QueryReader query) {
    Optional<Principal> principal = tokens.find(exchange.getRequestHeaders());
    if (principal.isEmpty()) {
      exchange.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Bearer");
      throw new LarkkeelException(
          ErrorKind.UNAUTHENTICATED, "No known token stands in the header Authorization.");
    }
    DryRun dryRun = endpoint == Endpoint.PROPOSE ? query.dryRun() : DryRun.NO;
    OperatorRole required = endpoint.requiredRole(dryRun);
    if (!principal.get().role().allows(required)) {
      throw new LarkkeelException(
          ErrorKind.FORBIDDEN,
          "The token of " + principal.get().name() + " lacks the role " + required + ".");
    }
    return principal.get();
  }

  private void handle(
      HttpServerExchange exchange, Endpoint endpoint, QueryReader query, Principal principal) {
    switch (endpoint) {
      case CONFIGURATION -> respond(exchange, principal, service.configuration());
      case AUDIT ->
          respond(
              exchange,
              principal,
              service.audit(query.revision(OperatorPaths.FROM), query.auditLimit()));
      case PROPOSE -> receiveChange(exchange, principal, query.dryRun());
      case EXPLAIN -> respond(exchange, principal, service.explain(query.explainRequest()));
      case STATUS -> respond(exchange, principal, service.status());
      case ROLLOUT ->
          respond(exchange, principal, service.rollout(query.revision(OperatorPaths.REVISION)));
      case DRAIN ->
          respond(exchange, principal, service.drain().thenCompose(done -> service.status()));
      default -> throw new IllegalStateException("unhandled endpoint " + endpoint);
    }
  }

  private void receiveChange(HttpServerExchange exchange, Principal principal, DryRun dryRun) {
    Receiver receiver = exchange.getRequestReceiver();
    receiver.setMaxBufferSize(MAX_BODY_BYTES);
    receiver.receiveFullBytes(
        (e, bytes) -> propose(e, principal, dryRun, new String(bytes, StandardCharsets.UTF_8)),
        (e, failure) -> sendFailure(e, principal.name(), toBodyException(failure)));
  }

  private static LarkkeelException toBodyException(IOException failure) {
    if (failure instanceof Receiver.RequestToLargeException) {
      return new LarkkeelException(
          ErrorKind.BODY_TOO_LARGE, "The change is larger than " + MAX_BODY_BYTES + " bytes.");
    }
    return new LarkkeelException(ErrorKind.MALFORMED_REQUEST, "The body broke off.", failure);
  }

  private void propose(
      HttpServerExchange exchange, Principal principal, DryRun dryRun, String body) {
    switch (ChangeCodec.read("change", body)) {
      case Checked.Invalid<Change> invalid ->
          send(exchange, principal.name(), ProblemDocument.of(invalid.problems()));
      case Checked.Valid<Change> valid -> {
        Change change = valid.value().withAuthorAndTime(principal.name(), clock.millis());
        respond(exchange, principal, service.propose(change, dryRun));
      }
    }
  }

  /** Sends the result of a future; the exchange stays open until it completes or times out. */
  private static void respond(
      HttpServerExchange exchange, Principal principal, CompletableFuture<?> future) {
    Runnable awaitResult =
        () -> {
          CompletableFuture<?> unused =
              future
                  .copy()
                  .orTimeout(RESPONSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                  .whenComplete((body, failure) -> sendResult(exchange, principal, body, failure));
        };
    exchange.dispatch(SameThreadExecutor.INSTANCE, awaitResult);
  }

  private static void sendResult(
      HttpServerExchange exchange, Principal principal, Object body, Throwable failure) {
    if (failure != null) {
      sendFailure(exchange, principal.name(), toLarkkeelException(failure));
      return;
    }
    switch (body) {
      case ProposalOutcome.Conflicting conflict ->
          send(exchange, principal.name(), ProblemDocument.of(conflict));
      case ProposalOutcome.Refused refused ->
          send(exchange, principal.name(), ProblemDocument.of(refused.problems()));
      default -> send(exchange, principal.name(), StatusCodes.OK, JSON, body);
    }
  }

  private static LarkkeelException toLarkkeelException(Throwable failure) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    return switch (cause) {
      case LarkkeelException larkkeel -> larkkeel;
      case TimeoutException timeout ->
          new LarkkeelException(
              ErrorKind.DEADLINE_EXCEEDED,
              "No answer within " + RESPONSE_TIMEOUT.toSeconds() + " s.",
              timeout);
      default -> new LarkkeelException(ErrorKind.INTERNAL, "The operation failed.", cause);
    };
  }

  private static void sendFailure(
      HttpServerExchange exchange, String principal, LarkkeelException e) {
    if (e.kind() == ErrorKind.INTERNAL) {
      log.error("event=operator_failure path={}", exchange.getRequestPath(), e);
    }
    if (e.kind() == ErrorKind.STORE_UNAVAILABLE) {
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, RETRY_AFTER_SECONDS);
    }
    send(exchange, principal, ProblemDocument.of(e.kind(), e.getMessage()));
  }

  private static void send(HttpServerExchange exchange, String principal, ProblemDocument problem) {
    send(exchange, principal, problem.status(), Problem.MEDIA_TYPE, problem);
  }

  private static void send(
      HttpServerExchange exchange, String principal, int status, String mediaType, Object body) {
    log.info(
        "event=operator_request method={} path={} principal={} status={}",
        exchange.getRequestMethod(),
        exchange.getRequestPath(),
        principal,
        status);
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, mediaType);
    exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, NO_STORE);
    exchange.getResponseSender().send(ByteBuffer.wrap(OperatorCodec.write(body)));
  }
}
