/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.larkkeel.lib.HostName;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.log.LogName;
import org.larkkeel.store.log.ObjectLog;
import org.larkkeel.store.log.WriterId;

/**
 * The run records of non-idempotent requests, in a few shards that the live hosts own by rendezvous
 * hashing.
 *
 * <p>Two hosts that disagree about the members can both try to own a shard; only the one whose seal
 * is the last can commit. Safe for use by several threads: the state is confined to the scheduler.
 *
 * @since 0.1
 */
public final class RunLog implements AutoCloseable {
  private static final String COLLECTION = "runlog-";

  private static final Duration RETAKE = Duration.ofSeconds(1);

  private final ObjectApi api;
  private final WriterId self;
  private final Scheduler scheduler;
  private final RandomGenerator random;
  private final RunLogOptions options;
  private final Predicate<WriterId> alive;
  private final Map<Integer, RunShard> owned = new HashMap<>();
  private volatile ImmutableSet<HostName> members = ImmutableSet.of();

  /**
   * Creates a log that owns nothing before the members are known.
   *
   * @param api the object API
   * @param self this process
   * @param scheduler the API's scheduler
   * @param random the source of jitter
   * @param options limits
   * @param alive tells whether a start of a process may still run; asked on the scheduler
   */
  public RunLog(
      ObjectApi api,
      WriterId self,
      Scheduler scheduler,
      RandomGenerator random,
      RunLogOptions options,
      Predicate<WriterId> alive) {
    this.api = api;
    this.self = self;
    this.scheduler = scheduler;
    this.random = random;
    this.options = options;
    this.alive = alive;
  }

  /**
   * Tells who keeps the records of a key.
   *
   * @param key the key
   * @return the host by the members known here, empty if there are none
   */
  public Optional<HostName> ownerOf(RunId key) {
    return ShardHash.ownerOf(ShardHash.shardOf(key, options.shards()), members);
  }

  /**
   * Takes the live hosts over; shards that are no longer this host's are given up, others are taken
   * over.
   *
   * @param hosts the live hosts, this one included unless it is leaving
   */
  public void setMembers(ImmutableSet<HostName> hosts) {
    members = hosts;
    scheduler.execute(this::adjust);
  }

  /**
   * Claims a request. The caller may send the request if and only if the answer is {@link
   * ClaimResult.Claimed}.
   *
   * @param request the request
   * @return the answer; never fails
   */
  public CompletableFuture<ClaimResult> claim(ClaimRequest request) {
    return onScheduler(
        () -> {
          RunShard s = owned.get(ShardHash.shardOf(request.key(), options.shards()));
          return s != null && s.isOwner()
              ? s.claim(request, alive)
              : CompletableFuture.completedFuture(notOwner(request.key()));
        });
  }

  /**
   * Records how an attempt ended. May be repeated.
   *
   * @param key the key
   * @param token the attempt
   * @param outcome how it ended
   * @return what became of it; never fails
   */
  public CompletableFuture<RecordResult> record(RunId key, RunToken token, RunOutcome outcome) {
    return onScheduler(
        () -> {
          RunShard s = owned.get(ShardHash.shardOf(key, options.shards()));
          return s != null && s.isOwner()
              ? s.record(key, token, outcome)
              : CompletableFuture.completedFuture(RecordResult.NOT_OWNER);
        });
  }

  /** Gives all shards up. */
  @Override
  public void close() {
    setMembers(ImmutableSet.of());
  }

  private ClaimResult notOwner(RunId key) {
    return new ClaimResult.NotOwner(ownerOf(key).filter(h -> !h.equals(self.host())));
  }

  private void adjust() {
    for (int shard = 0; shard < options.shards(); shard++) {
      boolean mine = ShardHash.ownerOf(shard, members).filter(self.host()::equals).isPresent();
      if (mine && !owned.containsKey(shard)) {
        open(shard);
      } else if (!mine && owned.containsKey(shard)) {
        owned.remove(shard).close();
      }
    }
  }

  private void open(int shard) {
    LogName name = new LogName(COLLECTION + shard);
    ObjectLog log = new ObjectLog(api, name, self, scheduler, random, options.log());
    RunShard s = new RunShard(log, scheduler, options.limits(), options.writer());
    owned.put(shard, s);
    s.open();
    s.deposed().thenRun(() -> lost(shard, s));
  }

  /**
   * Another host took over. If the shard is still this host's by the members, the two disagree or
   * did so; it is taken back after a while, so that no shard stays without an owner.
   */
  private void lost(int shard, RunShard s) {
    if (owned.remove(shard, s)) {
      Duration wait = RETAKE.plusNanos(random.nextLong(RETAKE.toNanos()));
      scheduler.schedule(wait, this::adjust);
    }
  }

  private <T> CompletableFuture<T> onScheduler(Supplier<CompletableFuture<T>> call) {
    CompletableFuture<T> result = new CompletableFuture<>();
    scheduler.execute(() -> call.get().thenAccept(result::complete));
    return result;
  }
}
