/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.larkkeel.balance.SampleResult;
import org.larkkeel.balance.ServiceSpeeds;
import org.larkkeel.balance.SlowStart;
import org.larkkeel.balance.SpeedSample;
import org.larkkeel.balance.UpstreamSpeed;
import org.larkkeel.balance.WorkKind;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.ReservationMode;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.UpstreamPath;

/**
 * The speeds of the engines of all services: samples from the attempts of this node and from other
 * nodes, and the speeds received from the reservation coordinator.
 *
 * <p>Only engines of services with memory are measured. Invariant: without samples and received
 * speeds, no service is uneven. Not thread-safe.
 */
final class EngineSpeeds {
  /** The maximum number of samples in one message. */
  static final int MAX_SAMPLES = 16;

  /**
   * The minimum time between two messages with samples, in nanoseconds: at most 40 samples per
   * second, which take 1.2 KB for each of two receivers.
   */
  private static final long SAMPLES_INTERVAL_NANOS = 400_000_000L;

  /** The number of steps after which waiting calls are placed again while a new engine starts. */
  private static final int SLOW_START_STEPS = 4;

  private final UpstreamTable upstreams;
  private final Timers timers;
  private final Consumer<RelayFact> report;
  private final Map<ServiceName, ServiceSpeeds> byService = new HashMap<>();

  /** The samples for other nodes that were not taken yet; one for each engine and kind. */
  private final Map<Work, SpeedSample> pending = new LinkedHashMap<>();

  private final SplittableRandom random;
  private ReservationMode mode = ReservationMode.EACH;
  private int nodes = 1;
  private long takenAt = Long.MIN_VALUE;

  /** The time of the last discovery of a new engine; long ago if there was none. */
  private long lastDiscoveredAt = Long.MIN_VALUE / 2;

  private record Work(UpstreamIncarnation upstream, WorkKind kind) {}

  /**
   * Creates speeds without any measurement.
   *
   * @param upstreams the known upstreams
   * @param timers the timers
   * @param random a source of random numbers that nothing else draws from, so that other draws do
   *     not depend on the use of speeds
   * @param report receives facts
   */
  EngineSpeeds(
      UpstreamTable upstreams, Timers timers, SplittableRandom random, Consumer<RelayFact> report) {
    this.upstreams = upstreams;
    this.timers = timers;
    this.random = random;
    this.report = report;
  }

  /**
   * Handles events of a run.
   *
   * @param at now
   * @param a the attempt
   * @param events the number of events since the previous call
   * @param memoryTokens the memory of an engine of the service
   */
  void runProgressed(long at, AttemptState a, int events, long memoryTokens) {
    CallState c = a.call();
    if (!isByDirectPath(a)) {
      c.pace.reset();
      return;
    }
    c.pace
        .progressed(at, events)
        .ifPresent(
            nanos -> {
              long others = Math.max(0, a.upstream().totalLoad() - c.reservedUnits);
              measured(at, a.upstream(), WorkKind.RUN, nanos, 1_000 * others / memoryTokens);
            });
  }

  /** Handles a prompt that was prefilled for another engine. */
  void promptPrefilled(long at, AttemptState a) {
    if (!isByDirectPath(a)) {
      return;
    }
    long prompt = Math.max(1, a.call().call.size().prompt());
    long nanos = (at - a.sentAt()) / prompt;
    measured(at, a.upstream(), WorkKind.PREFILL, nanos, 1_000 * a.queuedUnits() / prompt);
  }

  /** Returns whether the times of an attempt are those of its engine, and not of a broken path. */
  private static boolean isByDirectPath(AttemptState a) {
    return a.path() == UpstreamPath.DIRECT && a.upstream().reach() == UpstreamState.Reach.DIRECT;
  }

  private void measured(long at, UpstreamState s, WorkKind kind, long nanos, long load) {
    if (nanos == 0) {
      // An answer in no measurable time shows nothing about the speed.
      return;
    }
    SpeedSample sample = new SpeedSample(s.incarnation(), kind, nanos, load);
    if (add(at, sample) == SampleResult.IMPLAUSIBLE) {
      return;
    }
    Work work = new Work(sample.upstream(), kind);
    pending.remove(work);
    pending.put(work, sample);
    if (pending.size() > MAX_SAMPLES) {
      pending.remove(pending.keySet().iterator().next());
    }
  }

  /** Adds the samples of another node. */
  void samplesReceived(long at, List<SpeedSample> samples) {
    samples.forEach(sample -> add(at, sample));
  }

  private SampleResult add(long at, SpeedSample sample) {
    Optional<UpstreamState> s = upstreams.find(sample.upstream());
    SampleResult result =
        s.map(found -> ofService(found.upstream().service()).add(at, sample))
            .orElse(SampleResult.UNKNOWN_UPSTREAM);
    if (result == SampleResult.IMPLAUSIBLE || result == SampleResult.UNKNOWN_UPSTREAM) {
      report.accept(new RelayFact.SpeedSampleDropped(sample, result));
    }
    s.ifPresent(found -> refreshIfDue(at, found.upstream().service()));
    return result;
  }

  private ServiceSpeeds ofService(ServiceName service) {
    return byService.computeIfAbsent(service, s -> new ServiceSpeeds());
  }

  /**
   * Returns the samples to send to the reservation coordinator and its standby, at most {@link
   * #MAX_SAMPLES}; empty if the last ones were taken a moment ago.
   */
  ImmutableList<SpeedSample> takeSamples(long at) {
    if (pending.isEmpty() || (takenAt != Long.MIN_VALUE && at - takenAt < SAMPLES_INTERVAL_NANOS)) {
      return ImmutableList.of();
    }
    takenAt = at;
    ImmutableList<SpeedSample> samples = ImmutableList.copyOf(pending.values());
    pending.clear();
    return samples;
  }

  /** Returns the speeds to send to all nodes, the coordinator being this node. */
  ImmutableList<UpstreamSpeed> speeds(long at) {
    return byService.values().stream()
        .flatMap(speeds -> speeds.report(at).stream())
        .limit(ServiceSpeeds.MAX_REPORTED)
        .collect(ImmutableList.toImmutableList());
  }

  /** Replaces the speeds that the coordinator reported by these. */
  void speedsReceived(long at, List<UpstreamSpeed> speeds) {
    Map<ServiceName, List<UpstreamSpeed>> received = new HashMap<>();
    for (UpstreamSpeed speed : speeds) {
      upstreams
          .find(speed.upstream())
          .ifPresent(
              s ->
                  received
                      .computeIfAbsent(s.upstream().service(), n -> new ArrayList<>())
                      .add(speed));
    }
    received.keySet().forEach(this::ofService);
    byService.forEach(
        (service, own) -> {
          own.receive(at, received.getOrDefault(service, List.of()));
          refresh(at, service, own);
        });
  }

  /**
   * Handles a change of the reservation mode: a coordinator estimates the speeds by itself, and
   * what was measured before is not reported to a new one.
   */
  void modeChanged(ReservationMode newMode) {
    mode = newMode;
    if (newMode == ReservationMode.KEEP) {
      byService.values().forEach(ServiceSpeeds::discardReceived);
    }
    pending.clear();
  }

  /** Returns whether the speeds of a service are used for a kind of work. */
  boolean isUneven(long at, ServiceName service, WorkKind kind) {
    ServiceSpeeds speeds = refreshIfDue(at, service);
    return speeds != null && speeds.isUneven(kind);
  }

  /** Returns whether the speeds of a service are used for any kind of work. */
  boolean isUneven(long at, ServiceName service) {
    ServiceSpeeds speeds = refreshIfDue(at, service);
    return speeds != null && speeds.isUneven();
  }

  /** Returns whether the speeds of a service were used when they were last judged. */
  boolean wasUneven(ServiceName service) {
    ServiceSpeeds speeds = byService.get(service);
    return speeds != null && speeds.isUneven();
  }

  /** Returns the greatest speed of an engine of a service; 1 if none is known. */
  double maxSpeed(ServiceName service, WorkKind kind) {
    ServiceSpeeds speeds = byService.get(service);
    return speeds == null ? 1 : speeds.maxSpeed(kind);
  }

  /** Returns the speeds of a service; null if nothing is known of any engine. */
  private ServiceSpeeds refreshIfDue(long at, ServiceName service) {
    ServiceSpeeds speeds = byService.get(service);
    if (speeds != null && speeds.isRefreshDue(at)) {
      refresh(at, service, speeds);
    }
    return speeds;
  }

  private void refresh(long at, ServiceName service, ServiceSpeeds speeds) {
    boolean[] wasUneven = new boolean[WorkKind.values().length];
    for (WorkKind kind : WorkKind.values()) {
      wasUneven[kind.ordinal()] = speeds.isUneven(kind);
    }
    speeds.refresh(at, u -> upstreams.find(u).isPresent());
    for (UpstreamState s : upstreams.ofService(service)) {
      for (WorkKind kind : WorkKind.values()) {
        s.speed().set(kind, speeds.speed(s.incarnation(), kind));
      }
    }
    for (WorkKind kind : WorkKind.values()) {
      if (speeds.isUneven(kind) != wasUneven[kind.ordinal()]) {
        report.accept(
            new RelayFact.SpeedsChanged(
                service.value(),
                kind,
                speeds.isUneven(kind),
                speeds.spread(kind),
                speeds.measured(kind)));
      }
    }
  }

  /** Sets the number of nodes. */
  void nodes(int count) {
    nodes = count;
  }

  /** Returns the speed of an incarnation that is listed for the first time. */
  EngineSpeed create(long discoveredAt) {
    lastDiscoveredAt = Math.max(lastDiscoveredAt, discoveredAt);
    return new EngineSpeed(
        discoveredAt, (long) (random.nextDouble() * SlowStart.maxDelayNanos(nodes)));
  }

  /**
   * Returns whether the shares of new engines count now: the speeds of the service are used, and an
   * engine appeared a moment ago.
   */
  boolean limitsNewEngines(long at, ServiceName service) {
    return at - lastDiscoveredAt <= 2 * SlowStart.DURATION_NANOS && isUneven(at, service);
  }

  /** Returns the share of an engine's memory that may be reserved. */
  double memoryShare(long at, UpstreamState s) {
    return SlowStart.share(at, s.speed().startedAt(mode == ReservationMode.EACH));
  }

  /** Handles a new engine, whose memory is filled slowly if the speeds of its service are used. */
  void discovered(long at, UpstreamState s) {
    if (!isUneven(at, s.upstream().service()) || !s.upstream().stage().runsCalls()) {
      return;
    }
    long startedAt = s.speed().startedAt(mode == ReservationMode.EACH);
    for (int i = 0; i <= SLOW_START_STEPS; i++) {
      timers.add(
          new Timers.Timer.PlacementRetry(
              startedAt + i * SlowStart.DURATION_NANOS / SLOW_START_STEPS));
    }
    report.accept(new RelayFact.SlowStartBegan(s.incarnation(), s.upstream().service().value()));
  }
}
