/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.LinkedListMultimap;
import com.google.common.collect.ListMultimap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.http.upstream.AnswerTimeout;
import org.larkkeel.http.upstream.ConnectionUse;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.http.upstream.UpstreamClient;
import org.larkkeel.http.upstream.UpstreamRequest;
import org.larkkeel.http.upstream.WholeAnswer;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.Stage;

/**
 * Gives orders to upstreams.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
public final class OrderSender {
  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final int MAX_BYTES = 64 << 10;

  private final UpstreamClient client;
  private final RelayDialect dialect;

  /** Sends by a client. */
  public OrderSender(UpstreamClient client, RelayDialect dialect) {
    this.client = client;
    this.dialect = dialect;
  }

  /**
   * Orders an upstream to take another part of the work.
   *
   * @param upstream which
   * @param stage the part
   * @param holder who orders
   * @param fencing the number of the holder's lease
   * @param allowed asked again right before the order is written
   * @return the status of the answer; fails with a {@link LarkkeelException} without one
   */
  public CompletableFuture<Integer> send(
      RelayUpstream upstream, Stage stage, String holder, long fencing, BooleanSupplier allowed) {
    CompletableFuture<Integer> answered = new CompletableFuture<>();
    ControlCall order = dialect.order(stage, holder, fencing);
    ListMultimap<HttpString, String> headers = LinkedListMultimap.create();
    dialect.prepare(
        headers,
        new SendFacts(
            upstream, new RelayEffect.Purpose.Run(), TIMEOUT.toMillis(), OptionalLong.empty()));
    headers.put(Headers.CONTENT_TYPE, "application/json");
    UpstreamRequest wire =
        new UpstreamRequest(
            Methods.POST,
            order.path(),
            ImmutableListMultimap.copyOf(headers),
            order.body().getBytes(StandardCharsets.UTF_8),
            allowed);
    client.send(
        UpstreamAddress.parse(upstream.address()),
        wire,
        AnswerTimeout.whole(TIMEOUT.toNanos()),
        ConnectionUse.CONTROL,
        new WholeAnswer(
            MAX_BYTES,
            answer -> answered.complete(answer.status()),
            failure ->
                answered.completeExceptionally(
                    new LarkkeelException(ErrorKind.UPSTREAM_FAILED, failure.detail()))));
    return answered;
  }
}
