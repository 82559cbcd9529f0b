/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.larkkeel.lib.HostName;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.ReservationMode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Chooses the reservation coordinator, its standby and the reservation mode of this node.
 *
 * <p>In a small cluster there is no coordinator. In a large one the first live node by name is the
 * coordinator and the second is its standby. After two coordinators in a row have not answered,
 * this node has none for a while and reserves locally. Not thread-safe.
 */
final class CoordinatorChoice {
  private static final Logger log = LoggerFactory.getLogger(CoordinatorChoice.class);

  /**
   * The time for which a node reserves locally after two coordinators in a row have not answered.
   */
  private static final long LOCAL_MODE_NANOS = 1_000_000_000L;

  private final HostName self;
  private final int coordinatorFrom;
  private final PeerTable peers;
  private final Supplier<NodeState> ownState;
  private final LoadSharing.Environment environment;
  private final Listener listener;
  private ImmutableList<PeerTable.Coordinator> coordinators = ImmutableList.of();

  /** The coordinators as if no peer were suspect; empty in a small cluster. */
  private ImmutableList<PeerTable.Coordinator> withSuspects = ImmutableList.of();

  /**
   * The nodes that receive load reports: the coordinators, and those that would be coordinators if
   * they were not suspect.
   */
  private ImmutableSet<PeerTable.Peer> reportReceivers = ImmutableSet.of();

  private ReservationMode reservationMode = ReservationMode.EACH;
  private boolean largeCluster;
  private long lastFailureNanos = Long.MIN_VALUE;
  private long localModeUntilNanos = Long.MIN_VALUE;

  /** Is notified of the choices. */
  interface Listener {
    /**
     * Called after each choice, before the router learns of a new reservation mode.
     *
     * @param coordinator the coordinator; empty if there is none or it is this node
     */
    void chosen(Optional<PeerTable.Peer> coordinator);

    /** Called when this node becomes the coordinator, before the router learns of it. */
    void becameCoordinator();

    /** Called when a node is no longer coordinator, so that its last report of totals is void. */
    void coordinatorRetired(HostName node);

    /** Called when the coordinator or its standby has changed. */
    void coordinatorsChanged();
  }

  CoordinatorChoice(
      HostName self,
      int coordinatorFrom,
      PeerTable peers,
      Supplier<NodeState> ownState,
      LoadSharing.Environment environment,
      Listener listener) {
    this.self = self;
    this.coordinatorFrom = coordinatorFrom;
    this.peers = peers;
    this.ownState = ownState;
    this.environment = environment;
    this.listener = listener;
  }

  /** Returns the current reservation mode. */
  ReservationMode reservationMode() {
    return reservationMode;
  }

  /** Returns whether the cluster is large, so that a coordinator grants reservations. */
  boolean isLargeCluster() {
    return largeCluster;
  }

  /**
   * Returns whether the known nodes are enough for a large cluster. Unlike {@link #isLargeCluster},
   * this does not wait for the next call of {@link #updateClusterSize}.
   */
  boolean hasLargeSize() {
    return peers.size() + 1 >= coordinatorFrom;
  }

  /** Returns the nodes that receive load reports; empty in a small cluster. */
  ImmutableSet<PeerTable.Peer> reportReceivers() {
    return reportReceivers;
  }

  /**
   * Switches between the protocols for small and large clusters, according to the number of nodes.
   *
   * @return whether the protocol has changed
   */
  boolean updateClusterSize() {
    boolean isLarge = hasLargeSize();
    if (isLarge == largeCluster) {
      return false;
    }
    largeCluster = isLarge;
    log.info("event=load_sharing large={} peers={}", largeCluster, peers.size());
    return true;
  }

  /**
   * Chooses the coordinator and the reservation mode from the live peers. This costs little if the
   * first nodes by name are the same as before.
   */
  void choose() {
    final ImmutableList<PeerTable.Coordinator> previous = coordinators;
    final NodeState state = ownState.get();
    boolean isLocal = !largeCluster || environment.now() < localModeUntilNanos;
    ImmutableList<PeerTable.Coordinator> chosen =
        isLocal ? ImmutableList.of() : peers.coordinators(state);
    ImmutableList<PeerTable.Coordinator> chosenWithSuspects =
        largeCluster ? peers.coordinatorsWithSuspects(state) : ImmutableList.of();
    if (chosen == coordinators && chosenWithSuspects == withSuspects) {
      return;
    }
    coordinators = chosen;
    withSuspects = chosenWithSuspects;
    reportReceivers = chooseReportReceivers();
    Optional<PeerTable.Peer> coordinator =
        coordinators.stream().findFirst().flatMap(PeerTable.Coordinator::peer);
    ReservationMode newMode = ReservationMode.EACH;
    if (!coordinators.isEmpty()) {
      newMode = coordinator.isPresent() ? ReservationMode.ASK : ReservationMode.KEEP;
    }
    listener.chosen(coordinator);
    if (!firstName(previous).equals(firstName(coordinators))) {
      firstName(previous).filter(n -> !n.equals(self)).ifPresent(listener::coordinatorRetired);
      log.info(
          "event=room_keeper keeping={} keeper={} stands_by={}",
          newMode,
          firstName(coordinators).map(HostName::value).orElse(""),
          coordinators.size() > 1 ? coordinators.get(1).name() : "");
    }
    if (newMode != reservationMode) {
      reservationMode = newMode;
      if (newMode == ReservationMode.KEEP) {
        listener.becameCoordinator();
      }
      environment.submit(new RelayEvent.KeepingChanged(environment.now(), newMode));
    }
    if (!previous.equals(coordinators)) {
      listener.coordinatorsChanged();
    }
  }

  private ImmutableSet<PeerTable.Peer> chooseReportReceivers() {
    return Stream.concat(coordinators.stream(), withSuspects.stream())
        .flatMap(k -> k.peer().stream())
        .collect(ImmutableSet.toImmutableSet());
  }

  private static Optional<HostName> firstName(ImmutableList<PeerTable.Coordinator> nodes) {
    return nodes.stream().findFirst().map(PeerTable.Coordinator::name);
  }

  /** Suspects a coordinator that did not answer in time, and chooses again. */
  void coordinatorFailed(PeerTable.Peer coordinator, ReservationClient.Failure failure) {
    long nowNanos = environment.now();
    suspect(
        coordinator,
        failure.cause().name().toLowerCase(Locale.ROOT),
        failure.waitedNanos(),
        failure.limitNanos());
    if (lastFailureNanos != Long.MIN_VALUE && nowNanos - lastFailureNanos < LOCAL_MODE_NANOS) {
      localModeUntilNanos = nowNanos + LOCAL_MODE_NANOS;
      environment.after(LOCAL_MODE_NANOS, this::choose);
    }
    lastFailureNanos = nowNanos;
    choose();
  }

  private void suspect(
      PeerTable.Peer coordinator, String cause, long waitedNanos, long limitNanos) {
    peers.suspect(coordinator);
    environment.report(
        new RelayFact.CoordinatorSuspected(
            coordinator.address.toString(),
            cause,
            waitedNanos,
            coordinator.answerTime.smoothedNanos(),
            limitNanos));
  }

  /**
   * Suspects the coordinator if this node is the standby and peers send requests here: the
   * coordinator does not answer them.
   */
  void requestedFromStandby() {
    if (coordinators.size() > 1 && coordinators.get(1).peer().isEmpty()) {
      coordinators.getFirst().peer().ifPresent(p -> suspect(p, "others_ask_here", 0, 0));
      choose();
    }
  }
}
