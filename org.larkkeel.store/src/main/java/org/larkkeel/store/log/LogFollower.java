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
 * Follows a log by list and watch.
 *
 * <p>Invariant: the listener gets each entry at most once, in order and without gaps; a snapshot
 * covers what it skips. Events that come late, twice or from another watch are dropped. Confined to
 * the scheduler.
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
  private long contact;
  private Watch watch;
  private Scheduler.Timer timer;
  private Phase phase = Phase.WAITING;

  LogFollower(ObjectLog log, long after, Listener listener) {
    this.log = log;
    this.last = after;
    this.listener = listener;
    this.backoff = log.newBackoff();
    this.contact = log.scheduler().nanoTime();
  }

  void start() {
    read();
  }

  /**
   * The last entry delivered.
   *
   * @return its number, 0 for none
   */
  public long last() {
    return last;
  }

  /**
   * When the store last answered.
   *
   * @return the scheduler's time in nanoseconds; at first the time of the start
   */
  public long contactNanos() {
    return contact;
  }

  /**
   * Delivers an entry learnt elsewhere, such as from a peer or by this process's own append.
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
   * Takes over a state learnt elsewhere, such as from a peer.
   *
   * @param snapshot a state that the log had
   */
  public void offer(LogSnapshot snapshot) {
    if (phase != Phase.CLOSED && snapshot.through() > last) {
      last = snapshot.through();
      listener.snapshot(snapshot);
    }
  }

  /** Reads at once instead of waiting for the watch; does nothing while a read is in progress. */
  public void refresh() {
    if (phase == Phase.WATCHING || phase == Phase.WAITING) {
      read();
    }
  }

  @Override
  public void close() {
    phase = Phase.CLOSED;
    stopWaiting();
  }

  private void read() {
    stopWaiting();
    phase = Phase.READING;
    log.read(last).whenComplete(this::received);
  }

  private void received(LogView view, Throwable failure) {
    if (phase == Phase.CLOSED) {
      return;
    }
    if (failure != null) {
      failed(failure);
      return;
    }
    contact = log.scheduler().nanoTime();
    backoff.reset();
    view.snapshot().ifPresent(this::offer);
    view.entries().forEach(this::offer);
    version = view.resourceVersion();
    watch();
  }

  private void watch() {
    phase = Phase.WATCHING;
    Watch w = log.watch(version, this::event);
    watch = w;
    w.ended().whenComplete((ok, failure) -> ended(w, failure));
  }

  private void event(WatchEvent e) {
    if (phase != Phase.WATCHING) {
      return;
    }
    contact = log.scheduler().nanoTime();
    version = StoreVersion.max(version, e.resourceVersion());
    if (e instanceof WatchEvent.Changed c) {
      changed(c.object());
    }
  }

  private void changed(StoredObject o) {
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

  private void ended(Watch w, Throwable failure) {
    if (phase != Phase.WATCHING || w != watch) {
      return;
    }
    if (failure == null) {
      contact = log.scheduler().nanoTime();
      watch();
    } else if (isExpired(failure)) {
      read();
    } else {
      failed(failure);
    }
  }

  private void failed(Throwable failure) {
    phase = Phase.WAITING;
    LOG.debug("event=log-follow-failed log={} cause=\"{}\"", log.name(), failure.getMessage());
    timer = log.scheduler().schedule(backoff.next(), this::read);
  }

  private void stopWaiting() {
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

  /** Receives the log. Called on the scheduler. */
  public interface Listener {
    /**
     * Replaces the state.
     *
     * @param snapshot the state after an entry
     */
    void snapshot(LogSnapshot snapshot);

    /**
     * Takes the next entry.
     *
     * @param entry the entry after the last one, or after the snapshot
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
