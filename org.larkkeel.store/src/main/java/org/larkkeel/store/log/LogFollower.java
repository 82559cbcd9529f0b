/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import java.util.OptionalLong;
import org.larkkeel.store.Backoff;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.ObjectApiFailure;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.StoredObject;
import org.larkkeel.store.Watch;
import org.larkkeel.store.WatchEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows a log by list and watch, and delivers its entries to a listener.
 *
 * <p>Invariant: the listener receives each entry at most once, in order and without gaps; entries
 * that are skipped are covered by a snapshot. Events that are late or duplicated, or that belong to
 * another watch, are dropped. Confined to the scheduler.
 *
 * @since 0.1
 */
public final class LogFollower implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(LogFollower.class);

  private final ObjectLog log;
  private final Listener listener;
  private final Backoff backoff;
  private long last;
  private StoreVersion version = StoreVersion.NONE;
  private long lastContactNanos;
  private Watch watch;
  private Scheduler.Timer timer;
  private Phase phase = Phase.WAITING;

  LogFollower(ObjectLog log, long after, Listener listener) {
    this.log = log;
    this.last = after;
    this.listener = listener;
    this.backoff = log.newBackoff();
    this.lastContactNanos = log.scheduler().nanoTime();
  }

  void start() {
    read();
  }

  /**
   * Returns the number of the last entry that was delivered or covered by a snapshot.
   *
   * @return the number, 0 for none
   */
  public long last() {
    return last;
  }

  /**
   * Returns the time of the last response from the store.
   *
   * @return the scheduler's time in nanoseconds; before the first response, the time of creation
   */
  public long lastContactNanos() {
    return lastContactNanos;
  }

  /**
   * Delivers an entry from another source, such as a peer or this process's own append. Ignored
   * unless it is the next entry.
   *
   * @param entry an entry that is in the log
   */
  public void offer(LogEntry entry) {
    if (phase != Phase.CLOSED && entry.number() == last + 1) {
      last = entry.number();
      listener.entry(entry);
    }
  }

  /**
   * Delivers a snapshot from another source, such as a peer. Ignored unless it is newer than the
   * last entry delivered.
   *
   * @param snapshot a state that the log had
   */
  public void offer(LogSnapshot snapshot) {
    if (phase != Phase.CLOSED && snapshot.through() > last) {
      last = snapshot.through();
      listener.snapshot(snapshot);
    }
  }

  /** Reads the log now instead of waiting for the watch; no effect while a read is in progress. */
  public void refresh() {
    if (phase == Phase.WATCHING || phase == Phase.WAITING) {
      read();
    }
  }

  @Override
  public void close() {
    phase = Phase.CLOSED;
    cancelTimerAndWatch();
  }

  private void read() {
    cancelTimerAndWatch();
    phase = Phase.READING;
    log.read(last).whenComplete(this::readCompleted);
  }

  private void readCompleted(LogView view, Throwable failure) {
    if (phase == Phase.CLOSED) {
      return;
    }
    if (failure != null) {
      retryLater(failure);
      return;
    }
    lastContactNanos = log.scheduler().nanoTime();
    backoff.reset();
    view.snapshot().ifPresent(this::offer);
    view.entries().forEach(this::offer);
    version = view.resourceVersion();
    watch();
  }

  private void watch() {
    phase = Phase.WATCHING;
    Watch w = log.watch(version, this::watchEvent);
    watch = w;
    w.ended().whenComplete((ok, failure) -> watchEnded(w, failure));
  }

  private void watchEvent(WatchEvent e) {
    if (phase != Phase.WATCHING) {
      return;
    }
    lastContactNanos = log.scheduler().nanoTime();
    version = StoreVersion.max(version, e.resourceVersion());
    if (e instanceof WatchEvent.Changed c) {
      objectChanged(c.object());
    }
  }

  private void objectChanged(StoredObject o) {
    OptionalLong n = log.name().numberOf(o.key());
    if (n.isEmpty() || n.getAsLong() <= last) {
      return;
    }
    if (n.getAsLong() == last + 1) {
      offer(LogCodec.read(n.getAsLong(), o.spec()));
    } else {
      read();
    }
  }

  private void watchEnded(Watch w, Throwable failure) {
    if (phase != Phase.WATCHING || w != watch) {
      return;
    }
    if (failure == null) {
      lastContactNanos = log.scheduler().nanoTime();
      watch();
    } else if (isExpired(failure)) {
      read();
    } else {
      retryLater(failure);
    }
  }

  private void retryLater(Throwable failure) {
    phase = Phase.WAITING;
    LOG.debug("event=log-follow-failed log={} cause=\"{}\"", log.name(), failure.getMessage());
    timer = log.scheduler().schedule(backoff.nextDelay(), this::read);
  }

  private void cancelTimerAndWatch() {
    if (timer != null) {
      timer.cancel();
    }
    if (watch != null) {
      Watch w = watch;
      watch = null;
      w.close();
    }
  }

  private static boolean isExpired(Throwable t) {
    return ObjectApiException.failureOf(t).orElse(null) instanceof ObjectApiFailure.Expired;
  }

  /** Receives the state and entries of the log. Called on the scheduler. */
  public interface Listener {
    /**
     * Replaces the state by that of a snapshot.
     *
     * @param snapshot the new state, which covers more entries than were delivered
     */
    void snapshot(LogSnapshot snapshot);

    /**
     * Receives the next entry.
     *
     * @param entry the entry that follows the last one or the snapshot
     */
    void entry(LogEntry entry);
  }

  private enum Phase {
    READING,
    WATCHING,
    WAITING,
    CLOSED
  }
}
