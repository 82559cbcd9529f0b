/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Supplier;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.quota.QuotaMessage;
import org.larkkeel.relay.CrashSuspect;
import org.larkkeel.relay.RateLimitReport;

/**
 * Creates messages of this node and sends them to peers.
 *
 * <p>Each message names this node, its state, the newest store versions that it has seen, and the
 * rate limits that it knows, all as of the time when the message is created. Not thread-safe.
 */
final class PeerMessenger implements QuotaSharing.Channel {
  /** The time after its start for which a node reports that it is newly started. */
  private static final long NEWLY_STARTED_NANOS = 2_000_000_000L;

  private final HostName self;
  private final DataCentreName dataCentre;
  private final PeerTable peers;
  private final LoadSharing.Environment environment;
  private final SpeedSharing speeds;
  private long startedNanos;
  private boolean leaving;
  private Supplier<FeedChanges> storeVersions = () -> FeedChanges.NONE;
  private Supplier<ImmutableList<RateLimitReport>> rateLimits = ImmutableList::of;

  PeerMessenger(
      HostName self,
      DataCentreName dataCentre,
      PeerTable peers,
      LoadSharing.Environment environment,
      SpeedSharing speeds) {
    this.self = self;
    this.dataCentre = dataCentre;
    this.peers = peers;
    this.environment = environment;
    this.speeds = speeds;
    this.startedNanos = environment.now();
  }

  /** Sets the source of this node's newest store versions. */
  void storeVersions(Supplier<FeedChanges> ownVersions) {
    storeVersions = ownVersions;
  }

  /** Sets the source of the rate limits of upstreams that this node knows. */
  void rateLimits(Supplier<ImmutableList<RateLimitReport>> known) {
    rateLimits = known;
  }

  /** Makes this node a newly started one as of the given time. */
  void restarted(long nowNanos) {
    startedNanos = nowNanos;
  }

  /** Makes this node a stopping one. */
  void leave() {
    leaving = true;
  }

  @Override
  public NodeState state() {
    if (leaving) {
      return NodeState.LEAVING;
    }
    return environment.now() - startedNanos < NEWLY_STARTED_NANOS
        ? NodeState.YOUNG
        : NodeState.STEADY;
  }

  /** Returns a message of this node without any content. */
  PeerMessage message(PeerMessage.Kind kind) {
    return PeerMessage.of(
        kind,
        new PeerMessage.Sender(self, dataCentre, state(), storeVersions.get(), rateLimits.get()));
  }

  void sendToAll(PeerMessage message) {
    send(peers.all(), message);
  }

  void send(Collection<PeerTable.Peer> receivers, PeerMessage message) {
    byte[] bytes = PeerMessageCodec.toBytes(message);
    receivers.forEach(p -> send(p, bytes));
  }

  void send(PeerTable.Peer to, PeerMessage message) {
    send(to, PeerMessageCodec.toBytes(message));
  }

  @Override
  public void send(PeerTable.Peer to, QuotaMessage message) {
    send(to, message(PeerMessage.Kind.QUOTA).withQuota(message));
  }

  private void send(PeerTable.Peer to, byte[] bytes) {
    if (bytes.length <= PeerMessageCodec.MAX_BYTES) {
      environment.send(to.address, bytes);
    }
  }

  /**
   * Sends an answer of the reservation coordinator, if the receiver is known.
   *
   * @param number the number of the receiver's last report
   */
  void sendAnswer(HostName to, ReservationServer.Answer answer, Optional<ReportNumber> number) {
    peers.find(to).ifPresent(p -> send(p, ReportNumberCodec.add(toMessage(answer), number)));
  }

  private PeerMessage toMessage(ReservationServer.Answer answer) {
    return switch (answer) {
      case ReservationServer.Answer.TotalLoads s when s.isComplete() ->
          speeds.withSpeeds(message(PeerMessage.Kind.SUMS).withLoads(s.loads(), s.losingHandles()));
      case ReservationServer.Answer.TotalLoads s ->
          message(PeerMessage.Kind.CHANGED_SUMS).withLoads(s.loads(), s.losingHandles());
      case ReservationServer.Answer.Grants g -> toMessage(g);
    };
  }

  private PeerMessage toMessage(ReservationServer.Answer.Grants answer) {
    PeerMessage message = message(PeerMessage.Kind.GRANTS).withGrants(answer.grants());
    if (!answer.rejections().isEmpty()) {
      message =
          message.withExtension(
              ExtensionId.REJECTIONS, RejectionsCodec.toBytes(answer.rejections()));
    }
    return answer.forecasts().isEmpty()
        ? message
        : message.withExtension(ExtensionId.FORECASTS, ForecastsCodec.toBytes(answer.forecasts()));
  }

  void sendStream(PeerTable.Peer to, StreamMessage content) {
    send(
        to,
        message(PeerMessage.Kind.STREAM)
            .withExtension(ExtensionId.STREAM, StreamMessage.toBytes(content)));
  }

  void sendSuspects(PeerTable.Peer to, ImmutableList<CrashSuspect> batch) {
    send(to, message(PeerMessage.Kind.SUSPECTS).withSuspects(batch));
  }
}
