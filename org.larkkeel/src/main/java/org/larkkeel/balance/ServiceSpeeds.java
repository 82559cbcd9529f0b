/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.balance;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.larkkeel.lib.UpstreamIncarnation;

/**
 * The speeds of the engines of one service, relative to the service's median.
 *
 * <p>They are estimated from samples, or received from the reservation coordinator, whose speeds
 * come first while they are recent: it has the samples of all nodes. Speeds change only in {@link
 * #refresh}. Not thread-safe.
 *
 * @since 0.1
 */
public final class ServiceSpeeds {
  /** The minimum speed, so that a wrong estimate can not exclude an engine altogether. */
  public static final double MIN_SPEED = 0.1;

  /** The maximum speed, so that a wrong estimate can not draw all work to one engine. */
  public static final double MAX_SPEED = 10;

  /**
   * The factor between the fastest and the slowest engine from which speeds are used. Below it the
   * target of a call is met at any engine, and noise of the samples would decide.
   */
  public static final double UNEVEN_FACTOR = 1.5;

  /** The minimum time between two refreshes, in nanoseconds; samples are as far apart. */
  public static final long REFRESH_NANOS = 100_000_000L;

  /**
   * The number of speeds in one report: with 30 B each and a report every 1.5 s, 1.3 KB per second
   * for a node that receives it.
   */
  public static final int MAX_REPORTED = 64;

  /** The deviation from the median from which a speed is reported; below it, it is taken for 1. */
  private static final double MIN_REPORTED_DEVIATION = 0.1;

  /**
   * The factor from the median beyond which a sample is implausible. An engine that is slower still
   * completes no work in the time of a caller; such samples come from steps of a clock.
   */
  private static final double IMPLAUSIBLE_FACTOR = 100;

  /**
   * The maximum queue before a prefill whose sample is used, as a multiple of the prompt: the queue
   * is known with a delay of up to 0.75 s, so that a correction by it would be wrong either way.
   */
  private static final double MAX_QUEUED = 0.25;

  /** The time without news after which a speed begins to fade to the median. */
  private static final long FADE_AFTER_MILLIS = 8_000;

  /** The time in which a fading speed loses half of its (logarithmic) deviation. */
  private static final double FADE_HALF_LIFE_MILLIS = 4_000;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Map<WorkKind, KindSpeeds> kinds = new EnumMap<>(WorkKind.class);
  private long refreshedAt = Long.MIN_VALUE;

  /** Creates speeds without any estimate. */
  public ServiceSpeeds() {
    for (WorkKind kind : WorkKind.values()) {
      kinds.put(kind, new KindSpeeds(kind));
    }
  }

  /** Adds a sample; the speeds change with the next {@link #refresh}. */
  public SampleResult add(long at, SpeedSample sample) {
    return sample.isPlausible()
        ? kinds.get(sample.kind()).add(at, sample)
        : SampleResult.IMPLAUSIBLE;
  }

  /**
   * Replaces the speeds received from the coordinator.
   *
   * @param at now
   * @param speeds the speeds; an engine without one has the median speed
   */
  public void receive(long at, List<UpstreamSpeed> speeds) {
    for (KindSpeeds k : kinds.values()) {
      k.receive(at, speeds.stream().filter(s -> s.kind() == k.kind).toList());
    }
  }

  /** Discards the speeds received from the coordinator. */
  public void discardReceived() {
    kinds.values().forEach(k -> k.received.clear());
  }

  /** Returns whether the last refresh is long enough ago for another one. */
  public boolean isRefreshDue(long at) {
    return refreshedAt == Long.MIN_VALUE || at - refreshedAt >= REFRESH_NANOS;
  }

  /**
   * Computes the speeds anew.
   *
   * @param at now
   * @param isCurrent whether an incarnation is the current one of its upstream; the estimates of
   *     others are dropped
   */
  public void refresh(long at, Predicate<UpstreamIncarnation> isCurrent) {
    refreshedAt = at;
    kinds.values().forEach(k -> k.refresh(at, isCurrent));
  }

  /** Returns whether nothing is known of any engine. */
  public boolean isEmpty() {
    return kinds.values().stream().allMatch(k -> k.estimates.isEmpty() && k.received.isEmpty());
  }

  /** Returns whether the speeds for a kind of work differ enough to be used. */
  public boolean isUneven(WorkKind kind) {
    return kinds.get(kind).spread() >= UNEVEN_FACTOR;
  }

  /** Returns whether the speeds for any kind of work differ enough to be used. */
  public boolean isUneven() {
    return isUneven(WorkKind.RUN) || isUneven(WorkKind.PREFILL);
  }

  /**
   * Returns the factor between the fastest and the slowest engine; 1 if less than two are known.
   */
  public double spread(WorkKind kind) {
    return kinds.get(kind).spread();
  }

  /** Returns the greatest speed; 1 if none is known. */
  public double maxSpeed(WorkKind kind) {
    return kinds.get(kind).max;
  }

  /** Returns the speed of an engine; 1 if it is not known. */
  public double speed(UpstreamIncarnation upstream, WorkKind kind) {
    return kinds.get(kind).speeds.getOrDefault(upstream, 1.0);
  }

  /** Returns the number of engines whose speed is known. */
  public int measured(WorkKind kind) {
    return kinds.get(kind).speeds.size();
  }

  /**
   * Returns the speeds to report to other nodes: none of a kind whose speeds are even, and
   * otherwise those that deviate from the median, the most deviating first.
   */
  public ImmutableList<UpstreamSpeed> report(long at) {
    return kinds.values().stream()
        .filter(k -> k.spread() >= UNEVEN_FACTOR)
        .flatMap(k -> k.report(at).stream())
        .sorted(
            Comparator.comparingDouble(s -> -Math.abs(Math.log(s.speedThousandths() / 1_000.0))))
        .limit(MAX_REPORTED)
        .collect(ImmutableList.toImmutableList());
  }

  private static double clamp(double speed) {
    return Math.clamp(speed, MIN_SPEED, MAX_SPEED);
  }

  private static double faded(double speed, long ageMillis) {
    return ageMillis <= FADE_AFTER_MILLIS
        ? speed
        : Math.pow(speed, Math.pow(0.5, (ageMillis - FADE_AFTER_MILLIS) / FADE_HALF_LIFE_MILLIS));
  }

  /** A speed that the coordinator reported, with the time of its last sample. */
  private record Received(double speed, long sampledAt) {
    long ageMillis(long at) {
      return Math.max(0, at - sampledAt) / NANOS_PER_MILLI;
    }
  }

  /** The speeds for one kind of work. */
  private static final class KindSpeeds {
    /**
     * The quantile of an engine's samples that is its time. For prefills it is the fastest sample:
     * a node does not know all prompts that are queued before its own, and an unknown queue only
     * makes a prompt slower.
     */
    private final double quantile;

    private final WorkKind kind;
    private final LoadWeight loadWeight;
    private final Map<UpstreamIncarnation, SpeedEstimate> estimates = new LinkedHashMap<>();
    private final Map<UpstreamIncarnation, Received> received = new LinkedHashMap<>();
    private final Map<UpstreamIncarnation, Double> speeds = new LinkedHashMap<>();

    /** The time of a unit at an engine of median speed, in nanoseconds; 0 if none is measured. */
    private double medianNanos;

    private double min = 1;
    private double max = 1;

    KindSpeeds(WorkKind kind) {
      this.kind = kind;
      this.loadWeight = new LoadWeight(kind);
      this.quantile = kind == WorkKind.RUN ? 0.5 : 0;
    }

    SampleResult add(long at, SpeedSample sample) {
      if (kind == WorkKind.PREFILL && sample.load() > MAX_QUEUED) {
        return SampleResult.QUEUED;
      }
      double nanos = loadWeight.unloadedNanos(sample.nanosPerUnit(), sample.load());
      if (medianNanos > 0
          && (nanos > IMPLAUSIBLE_FACTOR * medianNanos
              || nanos * IMPLAUSIBLE_FACTOR < medianNanos)) {
        return SampleResult.IMPLAUSIBLE;
      }
      SpeedEstimate estimate =
          estimates.computeIfAbsent(sample.upstream(), u -> new SpeedEstimate());
      SampleResult result = estimate.add(at, nanos);
      if (result == SampleResult.USED) {
        estimate.learn(loadWeight, sample.nanosPerUnit(), sample.load());
      }
      return result;
    }

    void receive(long at, List<UpstreamSpeed> reported) {
      received.clear();
      for (UpstreamSpeed s : reported) {
        double speed = clamp(s.speedThousandths() / 1_000.0);
        received.put(
            s.upstream(), new Received(speed, at - Math.max(0, s.ageMillis()) * NANOS_PER_MILLI));
      }
    }

    void refresh(long at, Predicate<UpstreamIncarnation> isCurrent) {
      estimates.keySet().removeIf(u -> !isCurrent.test(u));
      received.values().removeIf(r -> r.ageMillis(at) > 2 * FADE_AFTER_MILLIS);
      speeds.clear();
      if (received.isEmpty()) {
        refreshEstimates(at);
      } else {
        received.forEach((u, r) -> speeds.put(u, faded(r.speed(), r.ageMillis(at))));
      }
      refreshRange();
    }

    private void refreshEstimates(long at) {
      Map<UpstreamIncarnation, Double> times = new LinkedHashMap<>();
      List<Double> recent = new ArrayList<>();
      estimates.forEach(
          (upstream, estimate) -> {
            if (estimate.isMeasured()) {
              double nanos = estimate.quantileNanos(at, quantile);
              times.put(upstream, nanos);
              if (estimate.ageMillis(at) <= FADE_AFTER_MILLIS) {
                recent.add(nanos);
              }
            }
          });
      if (!recent.isEmpty()) {
        recent.sort(null);
        medianNanos = recent.get(recent.size() / 2);
      }
      times.forEach(
          (upstream, nanos) ->
              speeds.put(
                  upstream,
                  faded(clamp(medianNanos / nanos), estimates.get(upstream).ageMillis(at))));
    }

    private void refreshRange() {
      // The engines that the coordinator does not name have the median speed.
      boolean includesMedian = !received.isEmpty() || speeds.isEmpty();
      min = includesMedian ? 1 : Double.MAX_VALUE;
      max = includesMedian ? 1 : 0;
      for (double speed : speeds.values()) {
        min = Math.min(min, speed);
        max = Math.max(max, speed);
      }
    }

    double spread() {
      return max / min;
    }

    List<UpstreamSpeed> report(long at) {
      List<UpstreamSpeed> reported = new ArrayList<>();
      speeds.forEach(
          (upstream, speed) -> {
            SpeedEstimate estimate = estimates.get(upstream);
            if (estimate != null && Math.abs(speed - 1) >= MIN_REPORTED_DEVIATION) {
              reported.add(
                  new UpstreamSpeed(upstream, kind, Math.round(1_000 * speed), age(at, estimate)));
            }
          });
      return reported;
    }

    /**
     * Returns the age to report: a speed that has faded here fades on from there at the receiver.
     */
    private static long age(long at, SpeedEstimate estimate) {
      return Math.min(estimate.ageMillis(at), FADE_AFTER_MILLIS);
    }
  }
}
