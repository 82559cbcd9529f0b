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
 * The run records of non-idempotent requests, divided into a few shards. The owner of each shard is
 * one of the live hosts, chosen by rendezvous hashing.
 *
 * <p>Hosts that disagree about the members may both try to own a shard; only the host whose seal is
 * the last in the shard's log can commit. Thread-safe: the state is confined to the scheduler.
 *
 * @since 0.1
 */
public final class RunLog implements AutoCloseable {
  private static final String COLLECTION_PREFIX = "runlog-";

  private static final Duration MIN_RETAKE_DELAY = Duration.ofSeconds(1);

  private final ObjectApi api;
  private final WriterId self;
  private final Scheduler scheduler;
  private final RandomGenerator random;
  private final RunLogOptions options;
  private final Predicate<WriterId> alive;
  private final Map<Integer, RunShard> owned = new HashMap<>();
  private volatile ImmutableSet<HostName> members = ImmutableSet.of();

  /**
   * Creates a run log that owns no shard until the members are set.
   *
   * @param api the object API
   * @param self the ID of this process
   * @param scheduler the scheduler of the API
   * @param random the source of jitter
   * @param options limits
   * @param alive returns whether an incarnation of a process may still run; called on the scheduler
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
   * Returns the owner of the shard of a key.
   *
   * @param key the key
   * @return the owner according to the members known here, empty if none are known
   */
  public Optional<HostName> ownerOf(RunId key) {
    return ShardHash.ownerOf(ShardHash.shardOf(key, options.shards()), members);
  }

  /**
   * Sets the live hosts. This host then closes the shards that it no longer owns and takes over
   * those that it newly owns.
   *
   * @param hosts the live hosts, including this one unless it is leaving
   */
  public void setMembers(ImmutableSet<HostName> hosts) {
    members = hosts;
    scheduler.execute(this::updateOwnedShards);
  }

  /**
   * Claims a request. The claimant may send the request if and only if the result is {@link
   * ClaimResult.Claimed}.
   *
   * @param request the claim
   * @return the result; never fails
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
   * Records the outcome of an attempt. May be retried.
   *
   * @param key the key
   * @param token the ID of the attempt
   * @param outcome the outcome of the attempt
   * @return the result; never fails
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

  /** Closes all shards that this host owns. */
  @Override
  public void close() {
    setMembers(ImmutableSet.of());
  }

  private ClaimResult notOwner(RunId key) {
    return new ClaimResult.NotOwner(ownerOf(key).filter(h -> !h.equals(self.host())));
  }

  private void updateOwnedShards() {
    for (int shard = 0; shard < options.shards(); shard++) {
      boolean ownedByThisHost =
          ShardHash.ownerOf(shard, members).filter(self.host()::equals).isPresent();
      if (ownedByThisHost && !owned.containsKey(shard)) {
        open(shard);
      } else if (!ownedByThisHost && owned.containsKey(shard)) {
        owned.remove(shard).close();
      }
    }
  }

  private void open(int shard) {
    LogName name = new LogName(COLLECTION_PREFIX + shard);
    ObjectLog log = new ObjectLog(api, name, self, scheduler, random, options.log());
    RunShard s = new RunShard(log, scheduler, options.limits(), options.writer());
    owned.put(shard, s);
    s.open();
    s.deposed().thenRun(() -> shardDeposed(shard, s));
  }

  /**
   * Handles the take-over of a shard by another host. If this host is still the owner according to
   * its members, the hosts disagree or did so for a time. The shard is then taken back after a
   * random delay, so that no shard stays without an owner.
   */
  private void shardDeposed(int shard, RunShard s) {
    if (owned.remove(shard, s)) {
      Duration wait = MIN_RETAKE_DELAY.plusNanos(random.nextLong(MIN_RETAKE_DELAY.toNanos()));
      scheduler.schedule(wait, this::updateOwnedShards);
    }
  }

  private <T> CompletableFuture<T> onScheduler(Supplier<CompletableFuture<T>> call) {
    CompletableFuture<T> result = new CompletableFuture<>();
    scheduler.execute(() -> call.get().thenAccept(result::complete));
    return result;
  }
}
