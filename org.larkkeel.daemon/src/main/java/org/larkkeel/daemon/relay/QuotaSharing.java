/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.lib.HostName;
import org.larkkeel.quota.QuotaCoordinator;
import org.larkkeel.quota.QuotaGrant;
import org.larkkeel.quota.QuotaHolder;
import org.larkkeel.quota.QuotaLevels;
import org.larkkeel.quota.QuotaMessage;
import org.larkkeel.quota.QuotaRequest;
import org.larkkeel.quota.QuotaTolerance;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayRouter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connects the quota holder of this node with the quota coordinator.
 *
 * <p>The coordinator is the first live node by name, or the second if the first does not answer.
 * Each node chooses by its own view of the cluster; two coordinators at a time are safe, because
 * each has only the time that was lent to it. Nothing is sent while no workspace and no upstream
 * has a limit. Not thread-safe.
 */
final class QuotaSharing {
  private static final Logger log = LoggerFactory.getLogger(QuotaSharing.class);

  /** The maximum number of times a request is sent before another node is tried. */
  private static final int MAX_SENDS = 3;

  /**
   * The minimum time for which a node that did not answer is not chosen as coordinator; it must
   * also have sent a message since.
   */
  private static final long COORDINATOR_RETRY_NANOS = 1_000_000_000L;

  /** The time without requests after which the coordinator's state is discarded as outdated. */
  private static final long IDLE_DISCARD_NANOS = 5_000_000_000L;

  private final HostName self;
  private final PeerTable peers;
  private final LoadSharing.Environment environment;
  private final Channel channel;
  private QuotaCoordinator localCoordinator = new QuotaCoordinator(QuotaTolerance.NONE);
  private final Map<HostName, Long> unansweredNanos = new HashMap<>();
  private Optional<RelayRouter> router = Optional.empty();
  private Optional<PeerTable.Coordinator> coordinator = Optional.empty();
  private long lastSequence;
  private int sendCount;
  private long lastRequestNanos;
  private boolean requestScheduled;

  /** Sends messages to peers; they may be lost. */
  interface Channel {
    /** Sends a request, a grant, or the remaining quota levels of this coordinator. */
    void send(PeerTable.Peer to, QuotaMessage message);

    /** Returns the state of this node. */
    NodeState state();
  }

  QuotaSharing(
      HostName self, PeerTable peers, LoadSharing.Environment environment, Channel channel) {
    this.self = self;
    this.peers = peers;
    this.environment = environment;
    this.channel = channel;
    this.lastRequestNanos = environment.now();
  }

  /** Sets the router whose quotas are shared; before that, nothing is requested or granted. */
  void router(RelayRouter newRouter) {
    router = Optional.of(newRouter);
    localCoordinator = new QuotaCoordinator(newRouter.quotaTolerance());
  }

  /** Requests the quota that is needed now, if any. */
  void requestNeeded() {
    request(false);
  }

  /**
   * Does the periodic work; to be called every {@link LoadSharing#PERIOD_NANOS}. A request is sent
   * even if no tokens are needed, to lend the time since the last one.
   */
  void periodic() {
    if (environment.now() - lastRequestNanos > IDLE_DISCARD_NANOS) {
      localCoordinator.clear();
    } else {
      sendLevels();
    }
    request(true);
  }

  /**
   * Sends the remaining levels to the candidates for coordinator, if this node is the coordinator.
   */
  private void sendLevels() {
    QuotaLevels levels = localCoordinator.levels();
    if (levels.left().isEmpty()) {
      return;
    }
    peers.coordinatorsWithSuspects(channel.state()).stream()
        .flatMap(k -> k.peer().stream())
        .forEach(p -> channel.send(p, levels));
  }

  /** Handles a quota message from a peer. */
  void received(PeerTable.Peer from, QuotaMessage message) {
    switch (message) {
      case QuotaRequest request -> receivedRequest(from, request);
      case QuotaGrant grant ->
          environment.submit(new RelayEvent.QuotaGranted(environment.now(), grant));
      case QuotaLevels levels -> localCoordinator.levelsReceived(environment.now(), levels);
    }
  }

  private void request(boolean heartbeat) {
    if (router.isEmpty()) {
      return;
    }
    router.get().quotaRequest(environment.now(), heartbeat).ifPresent(this::send);
    if (router.get().awaitsQuota()) {
      scheduleRequest();
    }
  }

  private void send(QuotaRequest request) {
    sendCount = request.sequence() == lastSequence ? sendCount + 1 : 1;
    lastSequence = request.sequence();
    if (sendCount > MAX_SENDS) {
      coordinator.ifPresent(this::markUnanswered);
      environment.submit(new RelayEvent.QuotaCoordinatorChanged(environment.now()));
      return;
    }
    if (sendCount == 1) {
      chooseCoordinator();
    }
    scheduleRequest();
    if (coordinator.isEmpty()) {
      return;
    }
    Optional<PeerTable.Peer> peer = coordinator.get().peer();
    if (peer.isPresent()) {
      channel.send(peer.get(), request);
    } else {
      environment.submit(new RelayEvent.QuotaGranted(environment.now(), grant(self, request)));
    }
  }

  /**
   * Schedules the next request: as a resend if there is no grant by then, or for calls whose tokens
   * have refilled.
   */
  private void scheduleRequest() {
    if (!requestScheduled) {
      requestScheduled = true;
      environment.after(
          QuotaHolder.RESEND_NANOS,
          () -> {
            requestScheduled = false;
            requestNeeded();
          });
    }
  }

  private void markUnanswered(PeerTable.Coordinator failed) {
    unansweredNanos.put(failed.name(), environment.now());
    log.warn("event=quota_coordinator_lost coordinator={}", failed.name());
  }

  private void chooseCoordinator() {
    Optional<PeerTable.Coordinator> next =
        peers.coordinatorsWithSuspects(channel.state()).stream()
            .filter(this::isEligible)
            .findFirst();
    if (!next.map(PeerTable.Coordinator::name)
        .equals(coordinator.map(PeerTable.Coordinator::name))) {
      log.info(
          "event=quota_coordinator coordinator={} before={}",
          next.map(k -> k.name().value()).orElse("none"),
          coordinator.map(k -> k.name().value()).orElse("none"));
    }
    coordinator = next;
  }

  private boolean isEligible(PeerTable.Coordinator candidate) {
    Long failedNanos = unansweredNanos.get(candidate.name());
    if (failedNanos == null || candidate.peer().isEmpty()) {
      return true;
    }
    boolean answers =
        environment.now() - failedNanos > COORDINATOR_RETRY_NANOS
            && candidate.peer().get().lastReceivedNanos > failedNanos;
    if (answers) {
      unansweredNanos.remove(candidate.name());
    }
    return answers;
  }

  private void receivedRequest(PeerTable.Peer from, QuotaRequest request) {
    if (router.isPresent()) {
      channel.send(from, grant(from.name, request));
    }
  }

  private QuotaGrant grant(HostName node, QuotaRequest request) {
    lastRequestNanos = environment.now();
    return localCoordinator.grant(
        lastRequestNanos, node, request, peers.size() + 1, router.orElseThrow()::quotaLimit);
  }

  /** Discards the coordinator's state after the machine was suspended, because it is outdated. */
  void discardState() {
    localCoordinator.clear();
  }
}
