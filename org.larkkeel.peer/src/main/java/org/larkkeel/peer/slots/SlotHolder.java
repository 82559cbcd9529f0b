/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.slots;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * The slots of one key that a node has leased.
 *
 * <p>A request takes an idle slot at once, or waits until the owner grants more; waiting requests
 * are served by priority, then in order of arrival. Slots that stay idle are returned to the owner.
 * Invariant: at least as many slots are held as are in use. Deterministic; not safe for use by
 * several threads. Times are in nanoseconds.
 *
 * @since 0.1
 */
public final class SlotHolder {
  /** The time for which free slots are returned at once after the owner reported contention. */
  private static final long CONTENTION_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final String key;
  private final SlotSettings settings;
  private final Set<Long> inUse = new HashSet<>();
  private final List<Waiting> waiting = new ArrayList<>();
  private long epoch = 1;
  private long sequence;
  private long lastGrant;
  private int held;
  private boolean changed;
  private long sentAt;
  private long validUntil = Long.MIN_VALUE;
  private boolean expirable;
  private long contendedUntil = Long.MIN_VALUE;
  private int lowestIdle;
  private long windowEnd;

  /**
   * Creates a holder without slots.
   *
   * @param key identifies the leased slots
   * @param settings the lease settings
   * @param now the current time in nanoseconds
   */
  public SlotHolder(String key, SlotSettings settings, long now) {
    this.key = key;
    this.settings = settings;
    this.windowEnd = now + settings.idleNanos();
  }

  private record Waiting(long id, int priority, long deadline) {}

  /** The result of an acquisition. */
  public enum Result {
    /** The request has a slot until the slot is released. */
    ACQUIRED,
    /** No slot became free before the deadline. */
    TIMED_OUT
  }

  /**
   * The outcome of one acquisition.
   *
   * @param id the request
   * @param result the result
   */
  public record Outcome(long id, Result result) {}

  /**
   * Requests a slot.
   *
   * @param now the current time in nanoseconds
   * @param id identifies the request at this node
   * @param priority the priority; greater values are served first
   * @param deadline the time at which the request stops waiting, in nanoseconds
   * @return the outcomes, including that of this request if a slot was idle
   */
  public List<Outcome> acquire(long now, long id, int priority, long deadline) {
    Waiting entry = new Waiting(id, priority, deadline);
    int index = waiting.size();
    while (index > 0 && waiting.get(index - 1).priority() < priority) {
      index--;
    }
    waiting.add(index, entry);
    List<Outcome> outcomes = assignIdleSlots();
    if (!waiting.isEmpty()) {
      changed = true;
    }
    return outcomes;
  }

  /**
   * Releases the slot of a request, or cancels its wait. Unknown ids are ignored.
   *
   * @param now the current time in nanoseconds
   * @param id the request
   * @return the outcomes of other requests
   */
  public List<Outcome> release(long now, long id) {
    if (waiting.removeIf(entry -> entry.id() == id)) {
      changed = true;
    }
    if (inUse.remove(id) && now < contendedUntil) {
      // The owner decides which waiting request of any node is next.
      returnIdle(1);
    }
    return assignIdleSlots();
  }

  /**
   * Applies a grant. A grant of another epoch is ignored, and one with another base adds no slots.
   *
   * @param now the current time in nanoseconds
   * @param grant the grant
   * @return the outcomes
   */
  public List<Outcome> onGrant(long now, SlotGrant grant) {
    if (grant.epoch() != epoch) {
      return List.of();
    }
    if (grant.sequence() == sequence) {
      validUntil = sentAt + settings.leaseNanos();
      expirable = true;
    }
    if (grant.base() == lastGrant && grant.number() > lastGrant) {
      held += grant.added();
      lastGrant = grant.number();
      changed = true;
    }
    contendedUntil = grant.contended() ? now + CONTENTION_NANOS : Long.MIN_VALUE;
    return assignIdleSlots();
  }

  /**
   * Starts a new epoch, since another node owns the key now. The held slots are reported to it.
   *
   * @param now the current time in nanoseconds
   */
  public void ownerChanged(long now) {
    epoch++;
    lastGrant = 0;
    changed = true;
  }

  /**
   * Ends waits whose deadline has passed, and returns slots that stayed idle for the keep time or
   * are idle when the lease has expired.
   *
   * @param now the current time in nanoseconds
   * @return the outcomes
   */
  public List<Outcome> tick(long now) {
    List<Outcome> outcomes = new ArrayList<>();
    Iterator<Waiting> entries = waiting.iterator();
    while (entries.hasNext()) {
      Waiting entry = entries.next();
      if (entry.deadline() <= now) {
        entries.remove();
        outcomes.add(new Outcome(entry.id(), Result.TIMED_OUT));
        changed = true;
      }
    }
    lowestIdle = Math.min(lowestIdle, idle());
    if (windowEnd <= now) {
      returnIdle(Math.min(lowestIdle, idle()));
      lowestIdle = idle();
      windowEnd = now + settings.idleNanos();
    }
    if (expirable && validUntil <= now) {
      returnIdle(idle());
    }
    return outcomes;
  }

  private void returnIdle(int slots) {
    if (slots > 0) {
      held -= slots;
      changed = true;
    }
  }

  /**
   * Returns the report to send, if something changed or the lease needs renewal. Called once per
   * flush.
   *
   * @param now the current time in nanoseconds
   * @return the report, empty if none is due
   */
  public Optional<SlotReport> report(long now) {
    if (now < contendedUntil) {
      returnIdle(idle());
    }
    boolean renewal = (held > 0 || !waiting.isEmpty()) && now - sentAt >= settings.renewal();
    if (!changed && !renewal) {
      return Optional.empty();
    }
    changed = false;
    sentAt = now;
    sequence++;
    return Optional.of(new SlotReport(key, epoch, sequence, lastGrant, held, waitsByPriority()));
  }

  /** Sends a report at the next flush, since the last one may be lost. */
  public void reportLost() {
    changed = true;
  }

  private List<SlotReport.Wait> waitsByPriority() {
    TreeMap<Integer, Integer> counts = new TreeMap<>();
    waiting.forEach(entry -> counts.merge(entry.priority(), 1, Integer::sum));
    List<SlotReport.Wait> waits = new ArrayList<>();
    for (Map.Entry<Integer, Integer> entry : counts.entrySet()) {
      waits.add(new SlotReport.Wait(entry.getKey(), entry.getValue()));
    }
    return waits;
  }

  private List<Outcome> assignIdleSlots() {
    List<Outcome> outcomes = new ArrayList<>();
    while (idle() > 0 && !waiting.isEmpty()) {
      Waiting next = waiting.removeFirst();
      inUse.add(next.id());
      outcomes.add(new Outcome(next.id(), Result.ACQUIRED));
      changed = changed || settings.idleNanos() == 0;
    }
    lowestIdle = Math.min(lowestIdle, idle());
    return outcomes;
  }

  private int idle() {
    return held - inUse.size();
  }

  /**
   * Returns the number of slots held, in use or idle.
   *
   * @return the number of slots
   */
  public int held() {
    return held;
  }

  /**
   * Returns the number of slots in use.
   *
   * @return the number of slots, at most {@link #held()}
   */
  public int used() {
    return inUse.size();
  }

  /**
   * Returns whether no slot is held, no request waits and no report is due.
   *
   * @return true if the holder may be dropped
   */
  public boolean isIdle() {
    return held == 0 && waiting.isEmpty() && !changed;
  }
}
