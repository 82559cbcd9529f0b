/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.larkkeel.store.Backoff;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.Watch;
import org.larkkeel.store.WatchEvent;

/**
 * An append-only log over the object API.
 *
 * <p>Entry <i>n</i> is an object created only if absent, so appending is a compare-and-set on
 * <i>n</i>. Invariants: an entry once read never changes; entries have no gaps; of any number of
 * writers at one place exactly one wins, and each learns whether it did or that it does not know.
 *
 * <p>Confined to the scheduler: call its methods there only.
 *
 * @since 0.1
 */
public final class ObjectLog {
  private final ObjectApi api;
  private final LogName name;
  private final WriterId writer;
  private final Scheduler scheduler;
  private final RandomGenerator random;
  private final LogOptions options;
  private final LogReads reads;
  private final LogSnapshots snapshots;
  private long sequence;

  /**
   * Opens a log; nothing is called yet.
   *
   * @param api the object API
   * @param name names the log
   * @param writer this process
   * @param scheduler the API's scheduler
   * @param random the source of jitter
   * @param options limits
   */
  public ObjectLog(
      ObjectApi api,
      LogName name,
      WriterId writer,
      Scheduler scheduler,
      RandomGenerator random,
      LogOptions options) {
    this.api = api;
    this.name = name;
    this.writer = writer;
    this.scheduler = scheduler;
    this.random = random;
    this.options = options;
    this.reads = new LogReads(api, name);
    this.snapshots = new LogSnapshots(api, name, options, reads);
  }

  /**
   * Names the next append of this process.
   *
   * @return an id that was not used before
   */
  public AppendId nextAppend() {
    sequence++;
    return new AppendId(writer, sequence);
  }

  /**
   * Prepares to append an entry.
   *
   * @param entry the entry, at the place after the last one known
   * @return the command
   */
  public AppendCommand append(LogEntry entry) {
    return new AppendCommand(this, entry);
  }

  /**
   * Reads the log.
   *
   * @param after the last entry that the reader has, 0 for none
   * @return what follows, from a snapshot if the reader's place is gone; fails with {@link
   *     org.larkkeel.store.ObjectApiException}
   */
  public CompletableFuture<LogView> read(long after) {
    return reads.read(after);
  }

  /**
   * Follows the log until closed.
   *
   * @param after the last entry that the reader has, 0 for none
   * @param listener receives snapshots and entries in order
   * @return the follower, already running
   */
  public LogFollower follow(long after, LogFollower.Listener listener) {
    LogFollower f = new LogFollower(this, after, listener);
    f.start();
    return f;
  }

  /**
   * Replaces the snapshot, then deletes entries that it covers, but for some kept for slow readers
   * and the newest seals. An older snapshot never replaces a newer one.
   *
   * @param snapshot the state after an entry that is in the log
   * @return what came of it; fails with {@link org.larkkeel.store.ObjectApiException}
   */
  public CompletableFuture<SnapshotResult> writeSnapshot(LogSnapshot snapshot) {
    return snapshots.write(snapshot, nextAppend());
  }

  /**
   * The name of the log.
   *
   * @return the name, never null
   */
  public LogName name() {
    return name;
  }

  /**
   * The limits of the log.
   *
   * @return the options, never null
   */
  public LogOptions options() {
    return options;
  }

  ObjectApi api() {
    return api;
  }

  Scheduler scheduler() {
    return scheduler;
  }

  LogReads reads() {
    return reads;
  }

  Backoff newBackoff() {
    return new Backoff(options.firstRetry(), options.longestRetry(), random);
  }

  /** Watches the entries, for the follower. */
  Watch watch(StoreVersion resourceVersion, Consumer<WatchEvent> listener) {
    return api.watch(name.value(), resourceVersion, options.watchTimeout(), listener);
  }
}
