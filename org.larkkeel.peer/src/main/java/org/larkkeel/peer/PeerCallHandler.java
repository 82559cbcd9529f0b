/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.apache.thrift.TException;
import org.larkkeel.lib.Revision;
import org.larkkeel.peer.gen.Batch;
import org.larkkeel.peer.gen.ConfigPage;
import org.larkkeel.peer.gen.PeerService;
import org.larkkeel.peer.gen.WireClaimReply;
import org.larkkeel.peer.gen.WireRecordAnswer;
import org.larkkeel.peer.gen.WireRunClaim;
import org.larkkeel.peer.gen.WireRunRecord;
import org.larkkeel.peer.transport.LeaseBatch;

/** Answers the calls of peers, each within a timeout. Safe for use by several threads. */
final class PeerCallHandler implements PeerService.Iface {
  private static final long EXCHANGE_TIMEOUT_SECONDS = 2;
  private static final long RUN_TIMEOUT_SECONDS = 5;

  private final Function<LeaseBatch, CompletableFuture<LeaseBatch>> exchange;
  private final ConfigSource configuration;
  private final RunService runs;

  /**
   * Creates a handler.
   *
   * @param exchange answers batches
   * @param configuration answers pulls of the configuration
   * @param runs answers claims and records of runs
   */
  PeerCallHandler(
      Function<LeaseBatch, CompletableFuture<LeaseBatch>> exchange,
      ConfigSource configuration,
      RunService runs) {
    this.exchange = exchange;
    this.configuration = configuration;
    this.runs = runs;
  }

  @Override
  public Batch exchange(Batch batch) throws TException {
    CompletableFuture<LeaseBatch> reply = exchange.apply(LeaseBatch.fromWire(batch));
    return await(reply, EXCHANGE_TIMEOUT_SECONDS, "the core thread failed to answer the batch")
        .toWire();
  }

  @Override
  public ConfigPage pullConfig(long fromRevision) {
    ConfigContent content = configuration.after(new Revision(fromRevision));
    ByteBuffer bytes = ByteBuffer.wrap(content.bytes());
    return new ConfigPage(content.revision().value(), bytes, content.more());
  }

  @Override
  public WireClaimReply claimRun(WireRunClaim claim) throws TException {
    return await(runs.claim(claim), RUN_TIMEOUT_SECONDS, "the run log failed to answer the claim");
  }

  @Override
  public WireRecordAnswer recordRun(WireRunRecord end) throws TException {
    return await(runs.record(end), RUN_TIMEOUT_SECONDS, "the run log failed to answer the record");
  }

  private static <T> T await(CompletableFuture<T> answer, long seconds, String failure)
      throws TException {
    try {
      return answer.get(seconds, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new TException("interrupted", e);
    } catch (ExecutionException | TimeoutException e) {
      throw new TException(failure, e);
    }
  }
}
