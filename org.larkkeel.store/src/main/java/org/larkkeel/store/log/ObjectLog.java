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
 * <p>Entry <i>n</i> is an object that is created only if absent, so appending is a compare-and-set
 * on <i>n</i>. Invariants: an entry never changes once it was read; the entries have no gaps; of
 * concurrent writers at one position at most one succeeds, and each learns whether it succeeded,
 * failed, or has an unknown outcome.
 *
 * <p>Confined to the scheduler: call its methods only there.
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
  private final LogReader reader;
  private final LogSnapshotWriter snapshotWriter;
  private long sequence;

  /**
   * Creates an accessor of a log; makes no call to the store.
   *
   * @param api the object API
   * @param name the name of the log
   * @param writer the ID of this process
   * @param scheduler the scheduler of the API
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
    this.reader = new LogReader(api, name);
    this.snapshotWriter = new LogSnapshotWriter(api, name, options, reader);
  }

  /**
   * Returns a new ID for an append by this process.
   *
   * @return an ID that was not returned before
   */
  public AppendId nextAppend() {
    sequence++;
    return new AppendId(writer, sequence);
  }

  /**
   * Creates a command that appends an entry.
   *
   * @param entry the entry, whose number follows the last one known
   * @return the command, not started
   */
  public AppendCommand append(LogEntry entry) {
    return new AppendCommand(this, entry);
  }

  /**
   * Reads the entries after a position.
   *
   * @param after the number of the last entry that the reader has, 0 for none
   * @return the entries that follow, preceded by a snapshot if the reader's position is truncated;
   *     fails with {@link org.larkkeel.store.ObjectApiException}
   */
  public CompletableFuture<LogView> read(long after) {
    return reader.read(after);
  }

  /**
   * Follows the log until closed.
   *
   * @param after the number of the last entry that the reader has, 0 for none
   * @param listener receives snapshots and entries in order
   * @return the follower, already started
   */
  public LogFollower follow(long after, LogFollower.Listener listener) {
    LogFollower f = new LogFollower(this, after, listener);
    f.start();
    return f;
  }

  /**
   * Replaces the snapshot, then deletes the entries that it covers, except the newest seals and
   * some entries that are kept for slow readers. An older snapshot never replaces a newer one.
   *
   * @param snapshot the state after an entry that is in the log
   * @return the outcome; fails with {@link org.larkkeel.store.ObjectApiException}
   */
  public CompletableFuture<SnapshotResult> writeSnapshot(LogSnapshot snapshot) {
    return snapshotWriter.write(snapshot, nextAppend());
  }

  /**
   * Returns the name of the log.
   *
   * @return the name, never null
   */
  public LogName name() {
    return name;
  }

  /**
   * Returns the limits of the log.
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

  LogReader reader() {
    return reader;
  }

  Backoff newBackoff() {
    return new Backoff(options.firstRetryDelay(), options.maxRetryDelay(), random);
  }

  /** Watches the entries, for {@link LogFollower}. */
  Watch watch(StoreVersion resourceVersion, Consumer<WatchEvent> listener) {
    return api.watch(name.value(), resourceVersion, options.watchTimeout(), listener);
  }
}
