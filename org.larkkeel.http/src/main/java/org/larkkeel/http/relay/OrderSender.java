/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.http.upstream.UpstreamClient;
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

  private final ControlSender sender;
  private final RelayDialect dialect;
  private final RelayLoop loop;

  /**
   * Sends by a client.
   *
   * @param client sends
   * @param dialect the words of upstreams
   * @param loop gets what upstreams say of themselves
   */
  public OrderSender(UpstreamClient client, RelayDialect dialect, RelayLoop loop) {
    this.sender = new ControlSender(client, dialect, new NoticeReader(loop, dialect));
    this.dialect = dialect;
    this.loop = loop;
  }

  /**
   * Orders an upstream to take another part of the work, unless it limits its requests.
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
    sender.send(
        upstream,
        dialect.order(stage, holder, fencing),
        TIMEOUT.toNanos(),
        () -> allowed.getAsBoolean() && !loop.isRateLimited(upstream.life()),
        answer -> answered.complete(answer.status()),
        failure ->
            answered.completeExceptionally(
                new LarkkeelException(ErrorKind.UPSTREAM_FAILED, failure.detail())));
    return answered;
  }
}
