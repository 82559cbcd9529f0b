/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;

/**
 * Cancels orphans: requests that engines hold for ended node incarnations.
 *
 * <p>Only requests whose id names an ended node incarnation are cancelled; requests of live nodes
 * and requests with ids of another format are left alone. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class OrphanSweep {
  private final EngineClient engines;
  private final long timeoutNanos;

  /**
   * Creates a sweep.
   *
   * @param engines the client for engines
   * @param timeoutNanos the timeout of each call
   */
  public OrphanSweep(EngineClient engines, long timeoutNanos) {
    this.engines = engines;
    this.timeoutNanos = timeoutNanos;
  }

  /**
   * The result of a sweep.
   *
   * @param held the number of requests that the engine held
   * @param cancelled the number of orphans whose cancel the engine acknowledged
   * @param failed the number of orphans whose cancel was not acknowledged; sweep again
   */
  public record Result(int held, int cancelled, int failed) {}

  /**
   * Sweeps one engine.
   *
   * @param engine the engine
   * @param hasEnded returns whether a node incarnation has certainly ended
   * @return the result; fails with {@code LarkkeelException} if the engine does not list its
   *     requests
   */
  public CompletableFuture<Result> sweep(
      UpstreamAddress engine, Predicate<EngineRequestId.Origin> hasEnded) {
    return listRequests(engine).thenCompose(requests -> cancelAll(engine, requests, hasEnded));
  }

  private CompletableFuture<JsonNode> listRequests(UpstreamAddress engine) {
    CompletableFuture<JsonNode> requests = new CompletableFuture<>();
    engines.listRequests(
        engine,
        timeoutNanos,
        new EngineClient.JsonCallback(
            body -> requests.complete(body.path("requests")),
            f -> requests.completeExceptionally(listFailed(engine, f))));
    return requests;
  }

  private static LarkkeelException listFailed(UpstreamAddress engine, UpstreamFailure failure) {
    return new LarkkeelException(
        ErrorKind.UPSTREAM_FAILED,
        "The engine at " + engine.hostHeader() + " did not list its requests: " + failure.detail());
  }

  private CompletableFuture<Result> cancelAll(
      UpstreamAddress engine, JsonNode requests, Predicate<EngineRequestId.Origin> hasEnded) {
    ImmutableList.Builder<CompletableFuture<Boolean>> builder = ImmutableList.builder();
    for (JsonNode request : requests) {
      String id = request.path("id").asText();
      if (EngineRequestId.parse(id).map(EngineRequestId::origin).filter(hasEnded).isPresent()) {
        builder.add(cancel(engine, id));
      }
    }
    ImmutableList<CompletableFuture<Boolean>> cancels = builder.build();
    return CompletableFuture.allOf(cancels.toArray(new CompletableFuture<?>[0]))
        .thenApply(all -> toResult(requests.size(), cancels));
  }

  private CompletableFuture<Boolean> cancel(UpstreamAddress engine, String id) {
    CompletableFuture<Boolean> acknowledged = new CompletableFuture<>();
    engines.cancel(
        engine,
        id,
        timeoutNanos,
        new EngineClient.JsonCallback(
            body -> acknowledged.complete(true), f -> acknowledged.complete(false)));
    return acknowledged;
  }

  private static Result toResult(int held, ImmutableList<CompletableFuture<Boolean>> cancels) {
    int cancelled = (int) cancels.stream().filter(CompletableFuture::join).count();
    return new Result(held, cancelled, cancels.size() - cancelled);
  }
}
