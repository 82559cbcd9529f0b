/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.apache.thrift.TException;
import org.larkkeel.balance.SpeedSample;
import org.larkkeel.balance.UpstreamSpeed;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayRouter;

/**
 * Exchanges the speeds of engines with the peers: samples go with the load reports to the
 * reservation coordinator and its standby, and speeds with the complete totals to all nodes.
 *
 * <p>Samples follow one another and speeds are repeated, so that a lost message has no lasting
 * effect. Not thread-safe.
 */
final class SpeedSharing {
  /**
   * The time for which the speeds of one report are used for all its receivers, in nanoseconds. A
   * complete report is due every 1.5 s, and goes to all nodes within milliseconds.
   */
  private static final long SAME_REPORT_NANOS = 100_000_000L;

  private final LoadSharing.Environment environment;
  private Optional<RelayRouter> router = Optional.empty();
  private ImmutableList<UpstreamSpeed> speeds = ImmutableList.of();
  private long speedsNanos = Long.MIN_VALUE;
  private boolean hasReceivedSpeeds;

  SpeedSharing(LoadSharing.Environment environment) {
    this.environment = environment;
  }

  /** Sets the router whose measurements are shared. */
  void router(RelayRouter measuring) {
    router = Optional.of(measuring);
  }

  /** Returns a load report with the samples that are due, which are sent once. */
  PeerMessage withSamples(PeerMessage report) {
    ImmutableList<SpeedSample> samples =
        router.map(r -> r.takeSpeedSamples(environment.now())).orElse(ImmutableList.of());
    return samples.isEmpty()
        ? report
        : report.withExtension(ExtensionId.SPEED_SAMPLES, SpeedSamplesCodec.toBytes(samples));
  }

  /** Returns complete totals with the speeds of engines, if there are any to report. */
  PeerMessage withSpeeds(PeerMessage totals) {
    long nowNanos = environment.now();
    if (speedsNanos == Long.MIN_VALUE || nowNanos - speedsNanos >= SAME_REPORT_NANOS) {
      speedsNanos = nowNanos;
      speeds = router.map(r -> r.speeds(nowNanos)).orElse(ImmutableList.of());
    }
    return speeds.isEmpty()
        ? totals
        : totals.withExtension(ExtensionId.UPSTREAM_SPEEDS, UpstreamSpeedsCodec.toBytes(speeds));
  }

  /** Handles a load report of another node. */
  void reportReceived(PeerMessage report) {
    parse(report, ExtensionId.SPEED_SAMPLES, SpeedSamplesCodec::fromBytes)
        .ifPresent(
            samples ->
                environment.submit(new RelayEvent.SpeedSamplesHeard(environment.now(), samples)));
  }

  /** Handles complete totals of the reservation coordinator; without speeds, all are even. */
  void totalsReceived(PeerMessage totals) {
    ImmutableList<UpstreamSpeed> received =
        parse(totals, ExtensionId.UPSTREAM_SPEEDS, UpstreamSpeedsCodec::fromBytes)
            .orElse(ImmutableList.of());
    if (!received.isEmpty() || hasReceivedSpeeds) {
      hasReceivedSpeeds = !received.isEmpty();
      environment.submit(new RelayEvent.SpeedsHeard(environment.now(), received));
    }
  }

  /** Decodes an extension. */
  private interface Parser<T> {
    T parse(byte[] bytes) throws TException;
  }

  private static <T> Optional<T> parse(PeerMessage message, ExtensionId id, Parser<T> parser) {
    Optional<byte[]> bytes = message.extensions().get(id);
    if (bytes.isEmpty()) {
      return Optional.empty();
    }
    try {
      T content = parser.parse(bytes.get());
      ExtensionCounts.PROCESS.read(id);
      return Optional.of(content);
    } catch (TException | IllegalArgumentException | IndexOutOfBoundsException e) {
      MessageExtensions.reportMalformed(id, e);
      return Optional.empty();
    }
  }
}
