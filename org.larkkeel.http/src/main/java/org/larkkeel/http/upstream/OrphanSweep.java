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
 * Cancels what engines hold for nodes that have died.
 *
 * <p>Only requests whose id names a dead start of a node are touched; ids of living nodes, and ids
 * that are not understood, are left alone. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class OrphanSweep {
  private final EngineClient engines;
  private final long timeoutNanos;

  /**
   * Creates a sweep.
   *
   * @param engines asks the engines
   * @param timeoutNanos limit of each call
   */
  public OrphanSweep(EngineClient engines, long timeoutNanos) {
    this.engines = engines;
    this.timeoutNanos = timeoutNanos;
  }

  /**
   * What a sweep did.
   *
   * @param held requests that the engine held
   * @param cancelled orphans that it let go
   * @param failed orphans whose cancel was not acknowledged; sweep again
   */
  public record Result(int held, int cancelled, int failed) {}

  /**
   * Sweeps one engine.
   *
   * @param engine the engine
   * @param dead tells whether a start of a node has ended for certain
   * @return what was done; fails with {@code LarkkeelException} if the engine does not say what it
   *     holds
   */
  public CompletableFuture<Result> sweep(
      UpstreamAddress engine, Predicate<EngineRequestId.Origin> dead) {
    return held(engine).thenCompose(requests -> cancelAll(engine, requests, dead));
  }

  private CompletableFuture<JsonNode> held(UpstreamAddress engine) {
    CompletableFuture<JsonNode> requests = new CompletableFuture<>();
    engines.held(
        engine,
        timeoutNanos,
        new EngineClient.JsonCallback(
            body -> requests.complete(body.path("requests")),
            f -> requests.completeExceptionally(silent(engine, f))));
    return requests;
  }

  private static LarkkeelException silent(UpstreamAddress engine, UpstreamFailure failure) {
    return new LarkkeelException(
        ErrorKind.UPSTREAM_FAILED,
        "The engine at "
            + engine.hostHeader()
            + " does not say what it holds: "
            + failure.detail());
  }

  private CompletableFuture<Result> cancelAll(
      UpstreamAddress engine, JsonNode requests, Predicate<EngineRequestId.Origin> dead) {
    ImmutableList.Builder<CompletableFuture<Boolean>> builder = ImmutableList.builder();
    for (JsonNode request : requests) {
      String id = request.path("id").asText();
      if (EngineRequestId.parse(id).map(EngineRequestId::origin).filter(dead).isPresent()) {
        builder.add(cancel(engine, id));
      }
    }
    ImmutableList<CompletableFuture<Boolean>> cancels = builder.build();
    return CompletableFuture.allOf(cancels.toArray(new CompletableFuture<?>[0]))
        .thenApply(all -> count(requests.size(), cancels));
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

  private static Result count(int held, ImmutableList<CompletableFuture<Boolean>> cancels) {
    int cancelled = (int) cancels.stream().filter(CompletableFuture::join).count();
    return new Result(held, cancelled, cancels.size() - cancelled);
  }
}
