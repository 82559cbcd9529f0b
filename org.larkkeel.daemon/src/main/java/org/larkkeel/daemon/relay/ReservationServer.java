/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.ServiceName;

/**
 * The coordinator side of reservations: the load reports of the nodes, the total load of all nodes,
 * and the grants that are still to be sent.
 *
 * <p>The router decides which calls get a reservation. Not thread-safe.
 */
final class ReservationServer {
  /** The minimum interval between two reports of total loads. */
  static final long TOTALS_NANOS = 60_000_000L;

  /**
   * The maximum interval between two reports of any kind; clients take their receipt as a sign of
   * life.
   */
  private static final long MAX_INTERVAL_NANOS = 390_000_000L;

  /** The maximum interval between two reports of all changed total loads. */
  private static final long CHANGES_INTERVAL_NANOS = 750_000_000L;

  /**
   * The interval between two complete reports, which bounds how long a node that lost a message
   * uses an outdated total. With 200 upstreams, 160 streams and 40 nodes, complete reports every
   * time cost a node 11.2 KB per second; mostly sending changes costs below 5 KB per second.
   */
  private static final long COMPLETE_INTERVAL_NANOS = 1_500_000_000L;

  /**
   * The minimum change, in requests over all upstreams, that is reported without waiting for the
   * maximum interval.
   */
  private static final long MIN_REPORTED_CHANGE = 6;

  /** The time after which the load report of a node expires. */
  private static final long REPORT_EXPIRY_NANOS = 1_500_000_000L;

  private static final long NANOS_PER_MICRO = 1_000L;

  private final LongSupplier clock;
  private final BiConsumer<HostName, Answer> sender;
  private final Map<HostName, Report> reports = new LinkedHashMap<>();
  private final Map<HostName, PendingAnswers> answers = new LinkedHashMap<>();
  private Supplier<ImmutableSet<ServiceName>> forecasts = ImmutableSet::of;

  /** The total load of all nodes by their last reports. */
  private final Map<UpstreamIncarnation, Long> totalLoads = new HashMap<>();

  /** The total load by the last report that was sent to the nodes. */
  private final Map<UpstreamIncarnation, Long> reportedLoads = new HashMap<>();

  /** The upstreams whose total load has changed since the last report. */
  private final Set<UpstreamIncarnation> changedUpstreams = new LinkedHashSet<>();

  private ImmutableMap<UpstreamIncarnation, Long> ownLoads = ImmutableMap.of();

  /**
   * No report was received before this time. Reports are examined one by one only when the oldest
   * may have expired, as this is asked for each message.
   */
  private long oldestReportNanos;

  private long lastSentNanos;
  private long lastChangesNanos;
  private long lastCompleteNanos;
  private boolean completeDue = true;

  /** A message to a node that reports here. */
  sealed interface Answer {
    /**
     * The total load without that of the receiver.
     *
     * @param loads the load at each upstream; if incomplete, at those where it has changed, with 0
     *     for no load
     * @param losingHandles the upstreams at which a reporting node recently observed that prefill
     *     handles are lost immediately
     * @param isComplete true if {@code loads} covers all upstreams, false if it holds changes only
     */
    record TotalLoads(
        ImmutableMap<UpstreamIncarnation, Long> loads,
        ImmutableSet<UpstreamIncarnation> losingHandles,
        boolean isComplete)
        implements Answer {}

    /**
     * Answers to requests of the receiver; without any, this only acknowledges its requests.
     *
     * @param grants the granted reservations
     * @param rejections the rejected calls
     * @param forecasts the services with a forecast
     */
    record Grants(
        ImmutableList<ReservationGrant> grants,
        ImmutableList<ReservationRejection> rejections,
        ImmutableSet<ServiceName> forecasts)
        implements Answer {}
  }

  /** The answers that are still to be sent to a node. */
  private static final class PendingAnswers {
    private final ImmutableList.Builder<ReservationGrant> grants = ImmutableList.builder();
    private final ImmutableList.Builder<ReservationRejection> rejections = ImmutableList.builder();
  }

  private record Report(long receivedNanos, Optional<ReportNumber> number, PeerMessage message) {}

  ReservationServer(LongSupplier clock, BiConsumer<HostName, Answer> sender) {
    this.clock = clock;
    this.sender = sender;
  }

  /** Updates the load of this node. */
  void ownLoads(ImmutableMap<UpstreamIncarnation, Long> loads) {
    if (loads != ownLoads) {
      updateTotals(ownLoads, loads);
      ownLoads = loads;
    }
  }

  /** Records the load report of another node. */
  void received(PeerMessage message) {
    long nowNanos = clock.getAsLong();
    if (reports.isEmpty()) {
      oldestReportNanos = nowNanos;
    }
    Report report = new Report(nowNanos, ReportNumberCodec.read(message), message);
    Report previous = reports.put(message.sender().node(), report);
    completeDue |= previous == null;
    updateTotals(
        previous == null ? ImmutableMap.of() : previous.message().loads(), message.loads());
  }

  /** Replaces one node's previous load by its current load in the totals. */
  private void updateTotals(
      Map<UpstreamIncarnation, Long> previous, Map<UpstreamIncarnation, Long> current) {
    current.forEach(
        (incarnation, units) -> add(incarnation, units - previous.getOrDefault(incarnation, 0L)));
    previous.forEach(
        (incarnation, units) -> {
          if (!current.containsKey(incarnation)) {
            add(incarnation, -units);
          }
        });
  }

  private void add(UpstreamIncarnation incarnation, long units) {
    if (units == 0) {
      return;
    }
    totalLoads.merge(incarnation, units, (a, b) -> a + b == 0 ? null : Long.valueOf(a + b));
    if (totalLoads.containsKey(incarnation) || reportedLoads.containsKey(incarnation)) {
      changedUpstreams.add(incarnation);
    } else {
      changedUpstreams.remove(incarnation);
    }
  }

  /** Returns the number of upstream incarnations for which state is kept. */
  int trackedIncarnations() {
    Set<UpstreamIncarnation> all = new LinkedHashSet<>(changedUpstreams);
    all.addAll(totalLoads.keySet());
    all.addAll(reportedLoads.keySet());
    return all.size();
  }

  /** Returns whether other nodes report here, so that the load of each is known. */
  boolean hasReports() {
    dropUnresponsive();
    return !reports.isEmpty();
  }

  /** Returns the number of the last report of a node, for an answer that is sent now. */
  Optional<ReportNumber> answerTo(HostName node) {
    return Optional.ofNullable(reports.get(node))
        .flatMap(
            r ->
                r.number()
                    .map(
                        n ->
                            new ReportNumber(
                                n.number(),
                                Math.max(0, clock.getAsLong() - r.receivedNanos())
                                    / NANOS_PER_MICRO)));
  }

  private void dropUnresponsive() {
    long nowNanos = clock.getAsLong();
    if (reports.isEmpty() || nowNanos - oldestReportNanos <= REPORT_EXPIRY_NANOS) {
      return;
    }
    oldestReportNanos = nowNanos;
    for (Iterator<Report> i = reports.values().iterator(); i.hasNext(); ) {
      Report r = i.next();
      if (nowNanos - r.receivedNanos() > REPORT_EXPIRY_NANOS) {
        i.remove();
        updateTotals(r.message().loads(), ImmutableMap.of());
      } else {
        oldestReportNanos = Math.min(oldestReportNanos, r.receivedNanos());
      }
    }
  }

  /** Adds the answer to a reservation request, which is sent with the next {@link #sendGrants}. */
  void answer(RelayEffect.ReservationAnswer answer) {
    PendingAnswers pending = answers.computeIfAbsent(answer.node(), n -> new PendingAnswers());
    switch (answer) {
      case RelayEffect.GrantReservation g ->
          pending.grants.add(
              new ReservationGrant(g.call(), g.reservedUpstream(), g.prefillUpstream()));
      case RelayEffect.RejectReservation r ->
          pending.rejections.add(new ReservationRejection(r.call(), r.retryAfterMillis()));
    }
  }

  /** Sets the source of the services with a forecast. */
  void forecasts(Supplier<ImmutableSet<ServiceName>> services) {
    forecasts = services;
  }

  /**
   * Acknowledges the requests of a node with the next {@link #sendGrants}, also if none was
   * granted.
   */
  void acknowledge(HostName node) {
    answers.computeIfAbsent(node, n -> new PendingAnswers());
  }

  /** Sends the collected grants and acknowledgements. */
  void sendGrants() {
    if (answers.isEmpty()) {
      return;
    }
    Map<HostName, PendingAnswers> toSend = new LinkedHashMap<>(answers);
    answers.clear();
    ImmutableSet<ServiceName> services = forecasts.get();
    toSend.forEach(
        (node, pending) ->
            sender.accept(
                node,
                new Answer.Grants(pending.grants.build(), pending.rejections.build(), services)));
  }

  /**
   * Sends the load of all other nodes to each node that reports here, if it has changed enough or
   * the last report is old; to be called every {@link #TOTALS_NANOS}. Most reports hold changes
   * only; a complete one is sent periodically, because messages may be lost.
   */
  void sendTotalLoads() {
    dropUnresponsive();
    long nowNanos = clock.getAsLong();
    if (completeDue || nowNanos - lastCompleteNanos >= COMPLETE_INTERVAL_NANOS) {
      completeDue = false;
      lastCompleteNanos = nowNanos;
      lastChangesNanos = nowNanos;
      sendLoads(totalLoads.keySet(), true);
      reportedLoads.clear();
      reportedLoads.putAll(totalLoads);
      changedUpstreams.clear();
    } else if (nowNanos - lastChangesNanos >= CHANGES_INTERVAL_NANOS
        || nowNanos - lastSentNanos >= MAX_INTERVAL_NANOS) {
      lastChangesNanos = nowNanos;
      sendChanged(ImmutableSet.copyOf(changedUpstreams));
    } else {
      ImmutableSet<UpstreamIncarnation> changedRequests = changedRequestLoads();
      if (changedRequests.stream().mapToLong(this::difference).sum() >= MIN_REPORTED_CHANGE) {
        sendChanged(changedRequests);
      }
    }
  }

  private void sendChanged(ImmutableSet<UpstreamIncarnation> selected) {
    sendLoads(selected, false);
    for (UpstreamIncarnation incarnation : selected) {
      reportedLoads.put(incarnation, totalLoads.getOrDefault(incarnation, 0L));
      changedUpstreams.remove(incarnation);
    }
  }

  /**
   * Returns the changed upstreams whose load is counted in requests. Memory is reserved by this
   * node, so the others need not know changes of memory loads at once.
   */
  private ImmutableSet<UpstreamIncarnation> changedRequestLoads() {
    return changedUpstreams.stream()
        .filter(
            incarnation -> totalLoads.getOrDefault(incarnation, 0L) < LoadChange.MIN_TOKEN_UNITS)
        .filter(
            incarnation -> reportedLoads.getOrDefault(incarnation, 0L) < LoadChange.MIN_TOKEN_UNITS)
        .collect(ImmutableSet.toImmutableSet());
  }

  private long difference(UpstreamIncarnation incarnation) {
    return Math.abs(
        totalLoads.getOrDefault(incarnation, 0L) - reportedLoads.getOrDefault(incarnation, 0L));
  }

  private void sendLoads(Set<UpstreamIncarnation> selected, boolean isComplete) {
    lastSentNanos = clock.getAsLong();
    ImmutableSet.Builder<UpstreamIncarnation> losing = ImmutableSet.builder();
    reports.values().forEach(r -> losing.addAll(r.message().losingHandles()));
    final ImmutableSet<UpstreamIncarnation> losingHandles = losing.build();
    for (Report r : reports.values()) {
      ImmutableMap<UpstreamIncarnation, Long> loads =
          loadsOfOthers(selected, r.message().loads(), isComplete);
      sender.accept(
          r.message().sender().node(), new Answer.TotalLoads(loads, losingHandles, isComplete));
    }
  }

  private ImmutableMap<UpstreamIncarnation, Long> loadsOfOthers(
      Set<UpstreamIncarnation> selected,
      ImmutableMap<UpstreamIncarnation, Long> ownLoadsOfReceiver,
      boolean isComplete) {
    ImmutableMap.Builder<UpstreamIncarnation, Long> loads = ImmutableMap.builder();
    for (UpstreamIncarnation incarnation : selected) {
      long units =
          totalLoads.getOrDefault(incarnation, 0L)
              - ownLoadsOfReceiver.getOrDefault(incarnation, 0L);
      if (units > 0 || !isComplete) {
        loads.put(incarnation, Math.max(0, units));
      }
    }
    return loads.buildOrThrow();
  }
}
