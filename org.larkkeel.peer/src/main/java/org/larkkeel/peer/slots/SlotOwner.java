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
 * Tracks the slots of one key at the node that owns it, and grants free slots by priority, then in
 * order of arrival.
 *
 * <p>Invariant: the sum of the slots that holders have, the grants that they have not confirmed and
 * the slots that run at the upstream without a lease exceeds the capacity only if the capacity
 * shrank or holders report leases of a previous owner. Deterministic; not safe for use by several
 * threads. Times are in nanoseconds.
 *
 * @since 0.1
 */
public final class SlotOwner {
  private static final int MAX_WAITS = 1_024;

  /** The count of slots without a lease falls by at most capacity / 10 with each load report. */
  private static final int UNLEASED_DECAY = 10;

  private final String key;
  private final SlotSettings settings;
  private final long grantsFrom;
  private final Map<NodeId, Holder> holders = new LinkedHashMap<>();
  private final TreeMap<QueuePosition, NodeId> waiting = new TreeMap<>();
  private long nextArrival;
  private long nextRecall;
  private int capacity;
  private int unleased;
  private int peakLeasedSinceReport;

  /**
   * Creates an owner that knows neither capacity nor leases. It grants nothing until it knows the
   * capacity and the takeover delay has passed.
   *
   * @param key identifies the leased slots
   * @param settings the lease settings
   * @param now the current time in nanoseconds
   */
  public SlotOwner(String key, SlotSettings settings, long now) {
    this.key = key;
    this.settings = settings;
    this.grantsFrom = now + settings.takeoverDelayNanos();
    this.nextRecall = grantsFrom;
  }

  /** The queue position of a waiting request: greater priority first, then earlier arrival. */
  private record QueuePosition(int priority, long arrival) implements Comparable<QueuePosition> {
    @Override
    public int compareTo(QueuePosition other) {
      int byPriority = Integer.compare(other.priority, priority);
      return byPriority != 0 ? byPriority : Long.compare(arrival, other.arrival);
    }
  }

  /** The owner's state of one holder. */
  private static final class Holder {
    private long epoch;
    private long sequence;
    private long lastConfirmed;
    private long lastGrant;
    private int held;
    private final TreeMap<Long, Integer> unconfirmed = new TreeMap<>();
    private long expiresAt;

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
   * @param holder the receiver
   * @param grant the grant
   */
  public record AddressedGrant(NodeId holder, SlotGrant grant) {}

  /**
   * Processes the next event.
   *
   * @param event the event
   * @return the grants to send; each new report is answered, a duplicate or outdated one is not
   */
  public List<AddressedGrant> on(SlotEvent event) {
    Map<NodeId, Holder> answered = new LinkedHashMap<>();
    long now = event.now();
    switch (event) {
      case SlotEvent.Reported reported ->
          onReport(reported).ifPresent(holder -> answered.put(reported.holder(), holder));
      case SlotEvent.Capacity load -> capacity(load);
      case SlotEvent.HolderDead dead -> removeHolder(dead.holder());
      case SlotEvent.Tick ignored -> {}
    }
    expire(now);
    grant(now, answered);
    notifyContention(now, answered);
    peakLeasedSinceReport = Math.max(peakLeasedSinceReport, leased());
    List<AddressedGrant> answers = new ArrayList<>();
    answered.forEach((id, holder) -> answers.add(new AddressedGrant(id, grantOf(id, holder))));
    return answers;
  }

  /**
   * Returns the time at which the next {@link SlotEvent.Tick} is due.
   *
   * @return the time in nanoseconds, {@link Long#MAX_VALUE} if none is due
   */
  public long nextDeadline() {
    boolean scarce = !waiting.isEmpty() || free() < 0;
    long deadline = scarce ? nextRecall : Long.MAX_VALUE;
    for (Holder holder : holders.values()) {
      deadline = Math.min(deadline, holder.expiresAt);
    }
    return deadline;
  }

  /**
   * Returns the number of leased slots, including unconfirmed grants.
   *
   * @return the number of slots
   */
  public int leased() {
    int leased = 0;
    for (Holder holder : holders.values()) {
      leased += holder.leased();
    }
    return leased;
  }

  /**
   * Returns the number of waiting requests of all holders.
   *
   * @return the number of requests
   */
  public int waiting() {
    return waiting.size();
  }

  /**
   * Returns the number of slots that can be granted.
   *
   * @return the number of slots, negative if more are in use or leased than exist
   */
  public int free() {
    return capacity - leased() - unleased;
  }

  private Optional<Holder> onReport(SlotEvent.Reported event) {
    SlotReport report = event.report();
    Holder holder = holders.computeIfAbsent(event.holder(), id -> new Holder());
    if (report.sequence() <= holder.sequence) {
      return Optional.empty();
    }
    if (report.epoch() != holder.epoch) {
      holder.epoch = report.epoch();
      holder.unconfirmed.clear();
      holder.lastGrant = 0;
    }
    final int before = holder.leased();
    holder.sequence = report.sequence();
    holder.lastConfirmed = report.seen();
    holder.lastGrant = Math.max(holder.lastGrant, report.seen());
    holder.held = report.held();
    holder.unconfirmed.headMap(report.seen(), true).clear();
    holder.expiresAt = event.now() + settings.leaseNanos();
    // Slots that a previous owner granted were counted as running without a lease until now.
    unleased = Math.max(0, unleased - Math.max(0, holder.leased() - before));
    updateQueue(event.holder(), report, holder.unconfirmedSlots());
    if (holder.leased() == 0 && report.waits().isEmpty()) {
      holder.expiresAt = event.now() + settings.renewal();
    }
    return Optional.of(holder);
  }

  /** Updates the waiting requests of a holder from its report. */
  private void updateQueue(NodeId id, SlotReport report, int alreadyGranted) {
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
            waiting.put(new QueuePosition(priority, nextArrival++), id);
          }
        });
  }

  private void capacity(SlotEvent.Capacity load) {
    capacity = load.slots();
    // The load report lags: it may still count slots whose lease ended since the previous report.
    int observed = load.running() - Math.max(peakLeasedSinceReport, leased());
    // Falls slowly: two owners that both saw free capacity would otherwise both fill it at once,
    // over and over.
    int lowest = unleased - Math.max(1, capacity / UNLEASED_DECAY);
    unleased = Math.max(0, Math.max(observed, lowest));
    peakLeasedSinceReport = leased();
  }

  private void removeHolder(NodeId id) {
    holders.remove(id);
    waiting.values().removeIf(id::equals);
  }

  private void expire(long now) {
    List<NodeId> expired = new ArrayList<>();
    holders.forEach(
        (id, holder) -> {
          if (holder.expiresAt <= now) {
            expired.add(id);
          }
        });
    expired.forEach(this::removeHolder);
  }

  private void grant(long now, Map<NodeId, Holder> answered) {
    if (now < grantsFrom) {
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
          holder.unconfirmed.put(++holder.lastGrant, slots);
          answered.put(id, holder);
        });
  }

  /** Notifies holders periodically of contention, so that they return slots that become free. */
  private void notifyContention(long now, Map<NodeId, Holder> answered) {
    boolean scarce = !waiting.isEmpty() || free() < 0;
    if (!scarce || now < nextRecall) {
      return;
    }
    nextRecall = now + settings.recallPeriodNanos();
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
        holder.lastConfirmed,
        holder.lastGrant,
        holder.unconfirmedSlots(),
        isContended(id));
  }
}
