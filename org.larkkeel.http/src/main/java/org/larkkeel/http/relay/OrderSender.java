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
import org.larkkeel.http.upstream.Destination;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.http.upstream.UpstreamClient;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.Stage;

/**
 * Sends orders to upstreams.
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
   * Creates a sender.
   *
   * @param client sends the requests
   * @param dialect the protocol of the upstreams
   * @param loop receives the notices of upstreams
   */
  public OrderSender(UpstreamClient client, RelayDialect dialect, RelayLoop loop) {
    this.sender = new ControlSender(client, dialect, new NoticeReader(loop, dialect));
    this.dialect = dialect;
    this.loop = loop;
  }

  /**
   * Orders an upstream to change to another stage. An order is never sent by a tunnel: upstreams
   * tell the holders of orders apart by the hosts from which they come. The order is not sent to an
   * upstream that has a rate limit.
   *
   * @param upstream the upstream
   * @param stage the stage
   * @param holder the node that gives the order
   * @param fencing the fencing number of the holder's lease
   * @param mayBeWritten called right before the order is written; if it returns false, the order is
   *     not sent
   * @return the status of the answer; fails with a {@link LarkkeelException} if there is no answer
   */
  public CompletableFuture<Integer> send(
      RelayUpstream upstream,
      Stage stage,
      String holder,
      long fencing,
      BooleanSupplier mayBeWritten) {
    CompletableFuture<Integer> answered = new CompletableFuture<>();
    sender.send(
        upstream,
        new Destination.Direct(UpstreamAddress.parse(upstream.address())),
        dialect.order(stage, holder, fencing),
        TIMEOUT.toNanos(),
        () -> mayBeWritten.getAsBoolean() && !loop.isRateLimited(upstream.incarnation()),
        answer -> answered.complete(answer.status()),
        failure ->
            answered.completeExceptionally(
                new LarkkeelException(ErrorKind.UPSTREAM_FAILED, failure.detail())));
    return answered;
  }
}
