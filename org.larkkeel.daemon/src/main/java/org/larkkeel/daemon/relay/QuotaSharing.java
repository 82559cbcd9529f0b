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
import org.larkkeel.quota.QuotaAsk;
import org.larkkeel.quota.QuotaGrant;
import org.larkkeel.quota.QuotaHolder;
import org.larkkeel.quota.QuotaLevels;
import org.larkkeel.quota.QuotaMessage;
import org.larkkeel.quota.QuotaPool;
import org.larkkeel.quota.QuotaTolerance;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayRouter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings nodes and the coordinator of quotas together.
 *
 * <p>The coordinator is the first of the nodes that are heard of, by name, and the second if the
 * first does not answer; each node chooses by what it hears, and two coordinators do no harm, as
 * each has only the time that was lent to it. Nothing is sent while no workspace has a limit. Not
 * safe for use by several threads.
 */
final class QuotaSharing {
  private static final Logger log = LoggerFactory.getLogger(QuotaSharing.class);

  /** How many nodes are tried one after the other. */
  private static final int CANDIDATES = 2;

  /** How often an ask is sent before another node is asked. */
  private static final int MOST_SENDS = 3;

  /** How long a node is not asked that did not answer; longer if it is not heard again. */
  private static final long AVOID_NANOS = 1_000_000_000L;

  /** Tokens that nobody has asked for during this time are worth nothing any more. */
  private static final long POOL_NANOS = 5_000_000_000L;

  private final HostName self;
  private final PeerTable peers;
  private final LoadSharing.Surroundings around;
  private final Channel channel;
  private QuotaPool pool = new QuotaPool(QuotaTolerance.NONE);
  private final Map<HostName, Long> unansweredAt = new HashMap<>();
  private Optional<RelayRouter> router = Optional.empty();
  private Optional<PeerTable.Keeper> coordinator = Optional.empty();
  private long lastSequence;
  private int sends;
  private long askedAt;
  private boolean planned;

  /** Carries messages to other nodes, which may be lost. */
  interface Channel {
    /** Sends an ask, an answer, or what this node has left as the coordinator. */
    void send(PeerTable.Peer to, QuotaMessage message);

    /** What this node says of itself. */
    NodeState state();
  }

  QuotaSharing(HostName self, PeerTable peers, LoadSharing.Surroundings around, Channel channel) {
    this.self = self;
    this.peers = peers;
    this.around = around;
    this.channel = channel;
    this.askedAt = around.now();
  }

  /** Sets whose quotas these are; before that, nothing is asked or granted. */
  void router(RelayRouter now) {
    router = Optional.of(now);
    pool = new QuotaPool(now.quotaTolerance());
  }

  /** Asks for what is needed now, if anything is. */
  void tell() {
    ask(false);
  }

  /** To be called every {@link LoadSharing#PERIOD_NANOS}: lends the time since the last ask. */
  void periodic() {
    if (around.now() - askedAt > POOL_NANOS) {
      pool.clear();
    } else {
      tellLevels();
    }
    ask(true);
  }

  /** Tells the node that would take over what is left, if this one is the coordinator. */
  private void tellLevels() {
    QuotaLevels levels = pool.levels();
    if (levels.left().isEmpty()) {
      return;
    }
    peers.keepers(channel.state(), CANDIDATES, true).stream()
        .flatMap(k -> k.peer().stream())
        .forEach(p -> channel.send(p, levels));
  }

  /** Another node tells something of quotas. */
  void heard(PeerTable.Peer from, QuotaMessage message) {
    switch (message) {
      case QuotaAsk ask -> asked(from, ask);
      case QuotaGrant grant -> around.submit(new RelayEvent.QuotaGranted(around.now(), grant));
      case QuotaLevels levels -> pool.heard(around.now(), levels);
    }
  }

  private void ask(boolean heartbeat) {
    if (router.isEmpty()) {
      return;
    }
    router.get().quotaAsk(around.now(), heartbeat).ifPresent(this::send);
    if (router.get().awaitsQuota()) {
      plan();
    }
  }

  private void send(QuotaAsk ask) {
    sends = ask.sequence() == lastSequence ? sends + 1 : 1;
    lastSequence = ask.sequence();
    if (sends > MOST_SENDS) {
      coordinator.ifPresent(this::avoid);
      around.submit(new RelayEvent.QuotaCoordinatorChanged(around.now()));
      return;
    }
    if (sends == 1) {
      choose();
    }
    plan();
    if (coordinator.isEmpty()) {
      return;
    }
    Optional<PeerTable.Peer> peer = coordinator.get().peer();
    if (peer.isPresent()) {
      channel.send(peer.get(), ask);
    } else {
      around.submit(new RelayEvent.QuotaGranted(around.now(), grant(self, ask)));
    }
  }

  /** Looks again in a while: for an answer, or for calls whose tokens will have refilled. */
  private void plan() {
    if (!planned) {
      planned = true;
      around.after(
          QuotaHolder.RESEND_NANOS,
          () -> {
            planned = false;
            tell();
          });
    }
  }

  private void avoid(PeerTable.Keeper lost) {
    unansweredAt.put(lost.name(), around.now());
    log.warn("event=quota_coordinator_lost coordinator={}", lost.name());
  }

  private void choose() {
    Optional<PeerTable.Keeper> next =
        peers.keepers(channel.state(), CANDIDATES, true).stream()
            .filter(this::mayAnswer)
            .findFirst();
    if (!next.map(PeerTable.Keeper::name).equals(coordinator.map(PeerTable.Keeper::name))) {
      log.info(
          "event=quota_coordinator coordinator={} before={}",
          next.map(k -> k.name().value()).orElse("none"),
          coordinator.map(k -> k.name().value()).orElse("none"));
    }
    coordinator = next;
  }

  private boolean mayAnswer(PeerTable.Keeper candidate) {
    Long failedAt = unansweredAt.get(candidate.name());
    if (failedAt == null || candidate.peer().isEmpty()) {
      return true;
    }
    boolean answers =
        around.now() - failedAt > AVOID_NANOS && candidate.peer().get().heardAt > failedAt;
    if (answers) {
      unansweredAt.remove(candidate.name());
    }
    return answers;
  }

  private void asked(PeerTable.Peer from, QuotaAsk ask) {
    if (router.isPresent()) {
      channel.send(from, grant(from.name, ask));
    }
  }

  private QuotaGrant grant(HostName node, QuotaAsk ask) {
    askedAt = around.now();
    return pool.ask(askedAt, node, ask, peers.size() + 1, router.orElseThrow()::limit);
  }

  /** The machine was suspended: what it has saved up is of no use any more. */
  void resumed() {
    pool.clear();
  }
}
