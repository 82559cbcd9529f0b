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
import org.larkkeel.peer.transport.Leases;

/** Answers the calls of peers, each within a bound of time. Safe for use by several threads. */
final class PeerCallHandler implements PeerService.Iface {
  private static final long EXCHANGE_SECONDS = 2;
  private static final long RUN_SECONDS = 5;

  private final Function<Leases, CompletableFuture<Leases>> exchange;
  private final ConfigSource configuration;
  private final RunService runs;

  /**
   * Creates a handler.
   *
   * @param exchange answers batches
   * @param configuration answers pulls of the configuration
   * @param runs answers what is asked about runs
   */
  PeerCallHandler(
      Function<Leases, CompletableFuture<Leases>> exchange,
      ConfigSource configuration,
      RunService runs) {
    this.exchange = exchange;
    this.configuration = configuration;
    this.runs = runs;
  }

  @Override
  public Batch exchange(Batch batch) throws TException {
    CompletableFuture<Leases> reply = exchange.apply(Leases.fromWire(batch));
    return await(reply, EXCHANGE_SECONDS, "the core did not answer").toWire();
  }

  @Override
  public ConfigPage pullConfig(long fromRevision) {
    ConfigContent content = configuration.after(new Revision(fromRevision));
    ByteBuffer bytes = ByteBuffer.wrap(content.bytes());
    return new ConfigPage(content.revision().value(), bytes, content.more());
  }

  @Override
  public WireClaimReply claimRun(WireRunClaim claim) throws TException {
    return await(runs.claim(claim), RUN_SECONDS, "the run log did not answer");
  }

  @Override
  public WireRecordAnswer recordRun(WireRunRecord end) throws TException {
    return await(runs.record(end), RUN_SECONDS, "the run log did not answer");
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
