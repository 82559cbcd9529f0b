/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.slots;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.larkkeel.peer.membership.NodeId;

/**
 * Counts the slots of one key at its owner and grants free ones, by priority and then in the order
 * of asking.
 *
 * <p>Invariant: the sum of what holders may hold, with what they have not yet confirmed and with
 * what runs on the upstream beyond all leases, exceeds the capacity only if the capacity shrank or
 * a new owner learns of leases that an earlier one granted. Deterministic; not safe for use by
 * several threads.
 *
 * @since 0.1
 */
public final class SlotOwner {
  private static final int MAX_WAITS = 1_024;

  /** The part of the capacity by which slots that run without a lease may fall a report. */
  private static final int UNLEASED_DECAY = 10;

  private final String key;
  private final SlotSettings settings;
  private final long grantFrom;
  private final Map<NodeId, Holder> holders = new LinkedHashMap<>();
  private final TreeMap<Turn, NodeId> waiting = new TreeMap<>();
  private long arrivals;
  private long nextRecall;
  private int capacity;
  private int unleased;
  private int peakLeased;

  /**
   * Creates an owner that knows neither capacity nor leases; it grants nothing before it has heard
   * of the capacity and the takeover delay has passed.
   *
   * @param key names what is leased
   * @param settings times
   * @param now nanoseconds
   */
  public SlotOwner(String key, SlotSettings settings, long now) {
    this.key = key;
    this.settings = settings;
    this.grantFrom = now + settings.takeoverDelay();
    this.nextRecall = grantFrom;
  }

  /** The place of a waiting ask: greater priority first, then earlier arrival. */
  private record Turn(int priority, long arrival) implements Comparable<Turn> {
    @Override
    public int compareTo(Turn other) {
      int byPriority = Integer.compare(other.priority, priority);
      return byPriority != 0 ? byPriority : Long.compare(arrival, other.arrival);
    }
  }

  /** What the owner knows of one holder. */
  private static final class Holder {
    private long epoch;
    private long sequence;
    private long seen;
    private long number;
    private int held;
    private final TreeMap<Long, Integer> unconfirmed = new TreeMap<>();
    private long expires;

    int unconfirmedSlots() {
      return unconfirmed.values().stream().mapToInt(Integer::intValue).sum();
    }

    int leased() {
      return held + unconfirmedSlots();
    }
  }

  /**
   * A grant to be sent.
   *
   * @param holder to whom
   * @param grant what
   */
  public record Answer(NodeId holder, SlotGrant grant) {}

  /**
   * Takes the next event.
   *
   * @param event the event
   * @return the grants to send; a report is always answered
   */
  public List<Answer> on(SlotEvent event) {
    Map<NodeId, Holder> answered = new LinkedHashMap<>();
    long now = event.now();
    switch (event) {
      case SlotEvent.Reported reported ->
          reported(reported).ifPresent(holder -> answered.put(reported.holder(), holder));
      case SlotEvent.Capacity load -> capacity(load);
      case SlotEvent.HolderDead dead -> forget(dead.holder());
      case SlotEvent.Tick ignored -> {}
    }
    expire(now);
    grant(now, answered);
    recall(now, answered);
    peakLeased = Math.max(peakLeased, leased());
    List<Answer> answers = new ArrayList<>();
    answered.forEach((id, holder) -> answers.add(new Answer(id, grantOf(id, holder))));
    return answers;
  }

  /**
   * When the next {@link SlotEvent.Tick} is due.
   *
   * @return nanoseconds, {@link Long#MAX_VALUE} if none is
   */
  public long nextDeadline() {
    boolean scarce = !waiting.isEmpty() || free() < 0;
    long deadline = scarce ? nextRecall : Long.MAX_VALUE;
    for (Holder holder : holders.values()) {
      deadline = Math.min(deadline, holder.expires);
    }
    return deadline;
  }

  /**
   * The slots leased, with those whose grant is not confirmed.
   *
   * @return a count
   */
  public int leased() {
    int leased = 0;
    for (Holder holder : holders.values()) {
      leased += holder.leased();
    }
    return leased;
  }

  /**
   * The asks that wait.
   *
   * @return a count
   */
  public int waiting() {
    return waiting.size();
  }

  /**
   * The slots that could be granted now.
   *
   * @return a count, negative if more is leased than there is
   */
  public int free() {
    return capacity - leased() - unleased;
  }

  private Optional<Holder> reported(SlotEvent.Reported event) {
    SlotReport report = event.report();
    Holder holder = holders.computeIfAbsent(event.holder(), id -> new Holder());
    if (report.sequence() <= holder.sequence) {
      return Optional.empty();
    }
    if (report.epoch() != holder.epoch) {
      holder.epoch = report.epoch();
      holder.unconfirmed.clear();
      holder.number = 0;
    }
    final int before = holder.leased();
    holder.sequence = report.sequence();
    holder.seen = report.seen();
    holder.number = Math.max(holder.number, report.seen());
    holder.held = report.held();
    holder.unconfirmed.headMap(report.seen(), true).clear();
    holder.expires = event.now() + settings.hold();
    // What an earlier owner granted was counted as running without a lease until now.
    unleased = Math.max(0, unleased - Math.max(0, holder.leased() - before));
    queue(event.holder(), report, holder.unconfirmedSlots());
    if (holder.leased() == 0 && report.waits().isEmpty()) {
      holder.expires = event.now() + settings.renewal();
    }
    return Optional.of(holder);
  }

  /** Brings the waiting asks of a holder in line with its report. */
  private void queue(NodeId id, SlotReport report, int alreadyGranted) {
    TreeMap<Integer, Integer> wanted = new TreeMap<>(Comparator.reverseOrder());
    report.waits().forEach(wait -> wanted.merge(wait.priority(), wait.count(), Integer::sum));
    int served = alreadyGranted;
    for (Map.Entry<Integer, Integer> entry : wanted.entrySet()) {
      int met = Math.min(served, entry.getValue());
      served -= met;
      entry.setValue(Math.min(MAX_WAITS, entry.getValue() - met));
    }
    waiting
        .entrySet()
        .removeIf(
            entry ->
                entry.getValue().equals(id)
                    && wanted.merge(entry.getKey().priority(), -1, Integer::sum) < 0);
    wanted.forEach(
        (priority, count) -> {
          for (int i = 0; i < count; i++) {
            waiting.put(new Turn(priority, arrivals++), id);
          }
        });
  }

  private void capacity(SlotEvent.Capacity load) {
    capacity = load.slots();
    // The report lags: what was leased since the one before may still have been counted in it.
    int observed = load.running() - Math.max(peakLeased, leased());
    // Falls slowly, since two owners that both saw room would fill it at once, again and again.
    int lowest = unleased - Math.max(1, capacity / UNLEASED_DECAY);
    unleased = Math.max(0, Math.max(observed, lowest));
    peakLeased = leased();
  }

  private void forget(NodeId id) {
    holders.remove(id);
    waiting.values().removeIf(id::equals);
  }

  private void expire(long now) {
    List<NodeId> expired = new ArrayList<>();
    holders.forEach(
        (id, holder) -> {
          if (holder.expires <= now) {
            expired.add(id);
          }
        });
    expired.forEach(this::forget);
  }

  private void grant(long now, Map<NodeId, Holder> answered) {
    if (now < grantFrom) {
      return;
    }
    Map<NodeId, Integer> added = new LinkedHashMap<>();
    int free = free();
    while (free > 0 && !waiting.isEmpty()) {
      added.merge(waiting.pollFirstEntry().getValue(), 1, Integer::sum);
      free--;
    }
    added.forEach(
        (id, slots) -> {
          Holder holder = holders.get(id);
          holder.unconfirmed.put(++holder.number, slots);
          answered.put(id, holder);
        });
  }

  /** Tells holders now and then that others wait, so that they return what becomes free. */
  private void recall(long now, Map<NodeId, Holder> answered) {
    boolean scarce = !waiting.isEmpty() || free() < 0;
    if (!scarce || now < nextRecall) {
      return;
    }
    nextRecall = now + settings.recallPeriod();
    holders.forEach(
        (id, holder) -> {
          if (holder.held > 0 && isContended(id)) {
            answered.put(id, holder);
          }
        });
  }

  private boolean isContended(NodeId id) {
    if (free() < 0) {
      return true;
    }
    for (NodeId waiter : waiting.values()) {
      if (!waiter.equals(id)) {
        return true;
      }
    }
    return false;
  }

  private SlotGrant grantOf(NodeId id, Holder holder) {
    return new SlotGrant(
        key,
        holder.epoch,
        holder.sequence,
        holder.seen,
        holder.number,
        holder.unconfirmedSlots(),
        isContended(id));
  }
}
