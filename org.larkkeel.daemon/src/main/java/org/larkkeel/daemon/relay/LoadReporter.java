/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Function;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.ServiceName;

/**
 * Reports the load and the pending reservations of this node: in a small cluster its load to all
 * nodes, in a large one both to the coordinator and the load to its standby.
 *
 * <p>A large change is reported at once, unless the last report was too recent; a small change is
 * held back for a short time and then reported to the coordinator. Not thread-safe.
 */
final class LoadReporter {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long MIN_INTERVAL_NANOS = 3 * NANOS_PER_MILLI;

  /** The minimum interval between a report and one that adds a reservation request. */
  private static final long MIN_REPORT_INTERVAL_NANOS = NANOS_PER_MILLI;

  /**
   * The minimum interval between a report and one that adds no request. A grant counts until its
   * node reports the load, so the coordinator does not need that report sooner.
   */
  private static final long REPORT_INTERVAL_NANOS = 20 * NANOS_PER_MILLI;

  /**
   * The maximum delay of a small change, so that several are reported to the coordinator together.
   */
  private static final long SMALL_CHANGE_DELAY_NANOS = 40 * NANOS_PER_MILLI;

  /**
   * The minimum interval between two load reports, for each node that receives them: what a node
   * spends on sending reports must not grow with the square of the cluster size.
   */
  private static final long MIN_INTERVAL_PER_PEER_NANOS = NANOS_PER_MILLI / 2;

  private final PeerTable peers;
  private final PeerMessenger messenger;
  private final CoordinatorChoice choice;
  private final ReservationClient client;
  private final LoadSharing.Environment environment;
  private final SpeedSharing speeds;
  private final LoadChange loadChange = new LoadChange();
  private Function<ServiceName, ImmutableSet<UpstreamIncarnation>> notEligible =
      service -> ImmutableSet.of();

  /** The time of the next scheduled report; the maximum if none is scheduled. */
  private long reportDueNanos = Long.MAX_VALUE;

  private boolean smallReportScheduled;
  private long lastReportNanos;

  LoadReporter(
      PeerTable peers,
      PeerMessenger messenger,
      CoordinatorChoice choice,
      ReservationClient client,
      LoadSharing.Environment environment,
      SpeedSharing speeds) {
    this.peers = peers;
    this.messenger = messenger;
    this.choice = choice;
    this.client = client;
    this.environment = environment;
    this.speeds = speeds;
  }

  /** Sets the source of the upstreams of a service that this node would not choose for any call. */
  void notEligible(Function<ServiceName, ImmutableSet<UpstreamIncarnation>> source) {
    notEligible = source;
  }

  /**
   * Updates the load of this node; {@link #reportChange} reports it.
   *
   * @return whether the change must be reported before the next period
   */
  boolean update(
      ImmutableMap<UpstreamIncarnation, Long> loads,
      ImmutableSet<UpstreamIncarnation> losingHandles) {
    return loadChange.update(loads, losingHandles);
  }

  /**
   * Reports the load, now or after a short delay.
   *
   * @param isLoadUrgent whether the load must be reported before the next period
   * @param requestChange the change of the pending reservations
   */
  void reportChange(boolean isLoadUrgent, ReservationClient.Change requestChange) {
    if (choice.isLargeCluster() && loadChange.hasChanged() && !smallReportScheduled) {
      smallReportScheduled = true;
      environment.after(SMALL_CHANGE_DELAY_NANOS, this::reportSmallChange);
    }
    if (requestChange == ReservationClient.Change.ADDED) {
      sendLoadAt(lastReportNanos + MIN_REPORT_INTERVAL_NANOS);
    } else if (isLoadUrgent || requestChange == ReservationClient.Change.UPDATED) {
      sendLoadAt(lastReportNanos + minIntervalNanos());
    }
  }

  /** Reports the load now if the time has come, else then, unless a report is due earlier. */
  private void sendLoadAt(long dueNanos) {
    if (dueNanos <= environment.now()) {
      sendLoad();
    } else if (dueNanos < reportDueNanos) {
      reportDueNanos = dueNanos;
      environment.after(dueNanos - environment.now(), () -> sendScheduledReport(dueNanos));
    }
  }

  private long minIntervalNanos() {
    return choice.isLargeCluster()
        ? REPORT_INTERVAL_NANOS
        : Math.max(MIN_INTERVAL_NANOS, peers.size() * MIN_INTERVAL_PER_PEER_NANOS);
  }

  /** Reports small changes, which were held back, to the coordinator. */
  private void reportSmallChange() {
    smallReportScheduled = false;
    if (choice.isLargeCluster() && loadChange.hasChanged()) {
      reportTo(
          choice.reportReceivers().stream().filter(client::requests).toList(), reportMessage());
    }
  }

  private void sendScheduledReport(long dueNanos) {
    if (dueNanos == reportDueNanos) {
      sendLoad();
    }
  }

  private void sendLoad() {
    reportDueNanos = Long.MAX_VALUE;
    if (choice.isLargeCluster()) {
      report();
    } else {
      lastReportNanos = environment.now();
      messenger.sendToAll(loadMessage(PeerMessage.Kind.LOADS));
      loadChange.reported();
    }
  }

  private PeerMessage loadMessage(PeerMessage.Kind kind) {
    return messenger.message(kind).withLoads(loadChange.loads(), loadChange.losingHandles());
  }

  /**
   * Reports the load to the coordinator and its standby; pending reservations go to the coordinator
   * only.
   */
  void report() {
    lastReportNanos = environment.now();
    PeerMessage report = reportMessage();
    // Without a receiver the samples wait for the next report.
    reportTo(
        choice.reportReceivers(),
        choice.reportReceivers().isEmpty() ? report : speeds.withSamples(report));
  }

  private PeerMessage reportMessage() {
    return ReportNumberCodec.add(
        loadMessage(PeerMessage.Kind.REPORT),
        Optional.of(new ReportNumber(client.nextReport(), 0)));
  }

  private void reportTo(Collection<PeerTable.Peer> receivers, PeerMessage report) {
    for (PeerTable.Peer p : receivers) {
      messenger.send(p, client.requests(p) ? withRequests(report) : report);
    }
    loadChange.reported();
    client.reported();
  }

  private PeerMessage withRequests(PeerMessage report) {
    return NotEligibleCodec.add(report.withRequests(client.requests()), notEligible);
  }

  /**
   * Reports the load if the last report is a period old in a small cluster, and always in a large
   * one; to be called every {@link LoadSharing#PERIOD_NANOS}.
   */
  void periodic() {
    if (choice.isLargeCluster()) {
      report();
    } else if (environment.now() - lastReportNanos >= LoadSharing.PERIOD_NANOS) {
      sendLoad();
    }
  }

  /** Sends the load of this node to a peer that did not receive the reports before. */
  void sendTo(PeerTable.Peer peer) {
    messenger.send(peer, loadMessage(PeerMessage.Kind.LOADS));
  }
}
