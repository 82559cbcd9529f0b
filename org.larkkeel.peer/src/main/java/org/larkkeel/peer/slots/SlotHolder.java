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
 * The slots of one key at a node that uses them.
 *
 * <p>Requests take idle slots at once or wait, by priority and then in the order of asking, until
 * the owner grants more. Slots that stay idle go back. Invariant: at least as many slots are held
 * as are in use. Deterministic; not safe for use by several threads. Times are nanoseconds.
 *
 * @since 0.1
 */
public final class SlotHolder {
  /** How long a holder returns free slots after the owner last said that others wait. */
  private static final long CONTENTION_TIME = TimeUnit.SECONDS.toNanos(1);

  private final String key;
  private final SlotSettings settings;
  private final Set<Long> inUse = new HashSet<>();
  private final List<Waiting> waiting = new ArrayList<>();
  private long epoch = 1;
  private long sequence;
  private long seen;
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
   * @param key names what is leased
   * @param settings times
   * @param now nanoseconds
   */
  public SlotHolder(String key, SlotSettings settings, long now) {
    this.key = key;
    this.settings = settings;
    this.windowEnd = now + settings.keep();
  }

  private record Waiting(long id, int priority, long until) {}

  /** How an acquisition ended. */
  public enum Result {
    /** The request has a slot until it is released. */
    ACQUIRED,
    /** No slot became free in time. */
    TIMED_OUT
  }

  /**
   * The end of a wait.
   *
   * @param id the request
   * @param result how it ended
   */
  public record Outcome(long id, Result result) {}

  /**
   * Asks for a slot.
   *
   * @param now nanoseconds
   * @param id names the request at this node
   * @param priority greater goes first
   * @param until when the request gives up
   * @return outcomes, with this request's if a slot was idle
   */
  public List<Outcome> acquire(long now, long id, int priority, long until) {
    Waiting entry = new Waiting(id, priority, until);
    int place = waiting.size();
    while (place > 0 && waiting.get(place - 1).priority() < priority) {
      place--;
    }
    waiting.add(place, entry);
    List<Outcome> outcomes = serve();
    if (!waiting.isEmpty()) {
      changed = true;
    }
    return outcomes;
  }

  /**
   * Gives a slot back, or gives up waiting. Unknown ids are ignored.
   *
   * @param now nanoseconds
   * @param id the request
   * @return outcomes of others
   */
  public List<Outcome> release(long now, long id) {
    if (waiting.removeIf(entry -> entry.id() == id)) {
      changed = true;
    }
    if (inUse.remove(id) && now < contendedUntil) {
      // The owner knows whose turn it is.
      returnIdle(1);
    }
    return serve();
  }

  /**
   * Takes a grant.
   *
   * @param now nanoseconds
   * @param grant the grant
   * @return outcomes
   */
  public List<Outcome> granted(long now, SlotGrant grant) {
    if (grant.epoch() != epoch) {
      return List.of();
    }
    if (grant.sequence() == sequence) {
      validUntil = sentAt + settings.hold();
      expirable = true;
    }
    if (grant.base() == seen && grant.number() > seen) {
      held += grant.added();
      seen = grant.number();
      changed = true;
    }
    contendedUntil = grant.contended() ? now + CONTENTION_TIME : Long.MIN_VALUE;
    return serve();
  }

  /**
   * Another node owns the key now: what is held is reported to it.
   *
   * @param now nanoseconds
   */
  public void ownerChanged(long now) {
    epoch++;
    seen = 0;
    changed = true;
  }

  /**
   * Ends waits that are over, returns what stayed idle, and gives up idle slots whose lease ran
   * out.
   *
   * @param now nanoseconds
   * @return outcomes
   */
  public List<Outcome> tick(long now) {
    List<Outcome> outcomes = new ArrayList<>();
    Iterator<Waiting> entries = waiting.iterator();
    while (entries.hasNext()) {
      Waiting entry = entries.next();
      if (entry.until() <= now) {
        entries.remove();
        outcomes.add(new Outcome(entry.id(), Result.TIMED_OUT));
        changed = true;
      }
    }
    lowestIdle = Math.min(lowestIdle, idle());
    if (windowEnd <= now) {
      returnIdle(Math.min(lowestIdle, idle()));
      lowestIdle = idle();
      windowEnd = now + settings.keep();
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
   * The report to send, if something changed or the lease needs renewal. Called once a flush.
   *
   * @param now nanoseconds
   * @return the report, empty if there is nothing to say
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
    return Optional.of(new SlotReport(key, epoch, sequence, seen, held, waits()));
  }

  /** Reports again at the next flush, because the last report may be lost. */
  public void reportLost() {
    changed = true;
  }

  private List<SlotReport.Wait> waits() {
    TreeMap<Integer, Integer> counts = new TreeMap<>();
    waiting.forEach(entry -> counts.merge(entry.priority(), 1, Integer::sum));
    List<SlotReport.Wait> waits = new ArrayList<>();
    for (Map.Entry<Integer, Integer> entry : counts.entrySet()) {
      waits.add(new SlotReport.Wait(entry.getKey(), entry.getValue()));
    }
    return waits;
  }

  private List<Outcome> serve() {
    List<Outcome> outcomes = new ArrayList<>();
    while (idle() > 0 && !waiting.isEmpty()) {
      Waiting next = waiting.removeFirst();
      inUse.add(next.id());
      outcomes.add(new Outcome(next.id(), Result.ACQUIRED));
      changed = changed || settings.keep() == 0;
    }
    lowestIdle = Math.min(lowestIdle, idle());
    return outcomes;
  }

  private int idle() {
    return held - inUse.size();
  }

  /**
   * The slots held.
   *
   * @return a count
   */
  public int held() {
    return held;
  }

  /**
   * The slots in use.
   *
   * @return a count, at most {@link #held()}
   */
  public int used() {
    return inUse.size();
  }

  /**
   * Tells whether nothing is held or waits and everything was reported.
   *
   * @return true if the holder may be dropped
   */
  public boolean isIdle() {
    return held == 0 && waiting.isEmpty() && !changed;
  }
}
