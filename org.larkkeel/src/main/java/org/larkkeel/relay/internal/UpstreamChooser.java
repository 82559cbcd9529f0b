/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.larkkeel.balance.WorkCost;
import org.larkkeel.balance.WorkKind;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;

/**
 * The choice of an upstream by its cost.
 *
 * <p>Invariant: an upstream that is leaving, or that has been missing for {@code missingNanos}, is
 * never chosen, nor is one that is dedicated to a call. Costs draw from the random source once for
 * each upstream that is compared. Not thread-safe.
 */
final class UpstreamChooser {
  /** The cost factor of an upstream with a rate limit. */
  private static final double RATE_LIMITED_FACTOR = 1.25;

  /**
   * The cost factor of an upstream with a rate limit that no recent answer has confirmed; below 1,
   * as only another answer shows whether the limit has ended.
   */
  private static final double STALE_RATE_LIMIT_FACTOR = 0.5;

  /** The cost factor of an upstream in another data centre. */
  private static final double REMOTE_FACTOR = 1.15;

  /**
   * The random spread of costs, so that nodes do not all choose the same among upstreams of equal
   * cost.
   */
  private static final double COST_SPREAD = 0.1;

  /**
   * The random spread of costs while all nodes receive the same totals at the same time: the
   * upstream with the lowest cost is then the same for all of them until they receive the next
   * totals.
   */
  private static final double COST_SPREAD_WITH_TOTALS = 1;

  private final UpstreamTable upstreams;
  private final UnitTimes unitTimes;
  private final EngineSpeeds speeds;
  private final long missingNanos;
  private final SplittableRandom random;
  private double costSpread = COST_SPREAD;
  private Predicate<UpstreamState> dedicated = s -> false;

  /**
   * Creates the choice.
   *
   * @param upstreams the known upstreams
   * @param unitTimes the measured times of one unit of work
   * @param speeds the measured speeds of engines
   * @param missingNanos the time after which a missing upstream is never chosen, in nanoseconds
   * @param random spreads the costs
   */
  UpstreamChooser(
      UpstreamTable upstreams,
      UnitTimes unitTimes,
      EngineSpeeds speeds,
      long missingNanos,
      SplittableRandom random) {
    this.upstreams = upstreams;
    this.unitTimes = unitTimes;
    this.speeds = speeds;
    this.missingNanos = missingNanos;
    this.random = random;
  }

  /** Sets which upstreams are dedicated to a call, so that they are not chosen for others. */
  void setDedicated(Predicate<UpstreamState> isDedicated) {
    dedicated = isDedicated;
  }

  /** Sets whether one node reports the total load to all nodes. */
  void setTotalsReceived(boolean received) {
    costSpread = received ? COST_SPREAD_WITH_TOTALS : COST_SPREAD;
  }

  /**
   * Returns the upstream of a service with the lowest cost.
   *
   * <p>Healthy upstreams come first, then ejected ones, then missing ones; one to which no path is
   * known is not chosen. No memory is sought at the last two while there is a healthy upstream,
   * even a full one: memory reserved at an upstream that does not answer is of no use.
   *
   * @param at now
   * @param service the service
   * @param stage accepts the eligible stages
   * @param accepted accepts the upstreams to which the call may be sent
   * @param near the data centre that counts as local
   * @param demand the demand on the upstream
   */
  Optional<Choice> choose(
      long at,
      ServiceName service,
      Predicate<Stage> stage,
      Predicate<UpstreamState> accepted,
      DataCentreName near,
      CallDemand demand) {
    final Ranking healthy = new Ranking(at, service, near, demand);
    final boolean startsSlowly = demand.memoryTokens() > 0 && speeds.limitsNewEngines(at, service);
    List<UpstreamState> others = new ArrayList<>();
    boolean healthyExists = false;
    for (UpstreamState s : upstreams.ofService(service)) {
      RelayUpstream u = s.upstream();
      if (stage.test(u.stage())
          && s.acceptsWork(at)
          && accepted.test(s)
          && !s.isMissingFor(at, missingNanos)) {
        boolean isHealthy = s.isHealthy(at);
        healthyExists |= isHealthy;
        if (s.inFlight() >= demand.maxInFlight()
            || !demand.fits(s, at)
            || dedicated.test(s)
            || (startsSlowly && !demand.fitsShare(s, speeds.memoryShare(at, s)))) {
          continue;
        }
        if (isHealthy) {
          healthy.add(s);
        } else if (s.isPathKnown() && !s.isUnreachable(at)) {
          others.add(s);
        }
      }
    }
    if (healthy.best != null || (demand.memoryTokens() > 0 && healthyExists)) {
      return healthy.choice();
    }
    Ranking ejected = new Ranking(at, service, near, demand);
    others.stream().filter(s -> !s.isMissing()).forEach(ejected::add);
    if (ejected.best != null) {
      return ejected.choice();
    }
    Ranking missing = new Ranking(at, service, near, demand);
    others.forEach(missing::add);
    return missing.choice();
  }

  /** The two upstreams of lowest cost among those that were added. */
  private final class Ranking {
    private final long at;
    private final DataCentreName near;
    private final CallDemand demand;
    private final double[] typicalNanos;
    private final boolean usesRunSpeeds;
    private final boolean usesPrefillSpeeds;
    private final double spread;
    private UpstreamState best;
    private UpstreamState second;
    private double cost = Double.MAX_VALUE;
    private double secondCost = Double.MAX_VALUE;
    private int candidates;

    Ranking(long at, ServiceName service, DataCentreName near, CallDemand demand) {
      this.at = at;
      this.near = near;
      this.demand = demand;
      // What is the same for all upstreams of the service is looked up once.
      typicalNanos = unitTimes.typicalByStage(service);
      usesRunSpeeds = speeds.isUneven(at, service, WorkKind.RUN);
      usesPrefillSpeeds = speeds.isUneven(at, service, WorkKind.PREFILL);
      spread = demand.memoryTokens() > 0 ? COST_SPREAD : costSpread;
    }

    void add(UpstreamState s) {
      candidates++;
      double c = cost(s);
      if (c < cost) {
        second = best;
        secondCost = cost;
        best = s;
        cost = c;
      } else if (c < secondCost) {
        second = s;
        secondCost = c;
      }
    }

    Optional<Choice> choice() {
      if (best == null) {
        return Optional.empty();
      }
      String runnerUp = second == null ? "" : second.upstream().name().value();
      return Optional.of(
          new Choice(best, cost, runnerUp, second == null ? 0 : secondCost, candidates));
    }

    private double cost(UpstreamState s) {
      double far = s.upstream().dataCentre().equals(near) ? 1 : REMOTE_FACTOR;
      double jitter = 1 + spread * random.nextDouble();
      return workNanos(s) * s.failureFactor(at) * far * rateLimitFactor(s, at) * jitter;
    }

    /**
     * Returns the estimated time of a unit of work at an upstream, weighted with its load. Where
     * the speeds of engines are used, it is the memory x time of a run and the predicted end of a
     * prefill.
     */
    private double workNanos(UpstreamState s) {
      Stage stage = s.upstream().stage();
      double typical = typicalNanos[stage.ordinal()];
      boolean prefills = stage == Stage.PREFILL;
      if (prefills ? !usesPrefillSpeeds : !usesRunSpeeds) {
        return s.estimateUnitNanos(at, typical) * demand.loadFactor(s);
      }
      if (prefills) {
        return WorkCost.prefillNanos(typical, s.speed().of(WorkKind.PREFILL))
            * demand.loadFactor(s);
      }
      double load =
          demand.memoryTokens() > 0 && !demand.promptKey().isKnown()
              ? WorkCost.fillWeight(demand.fill(s))
              : demand.loadFactor(s);
      double estimate = s.estimateUnitNanos(at, typical);
      return WorkCost.runNanos(typical, estimate, s.speed().of(WorkKind.RUN)) * load;
    }
  }

  /**
   * Returns the cost factor of a rate limit, which leaves permits to calls that have no other
   * upstream.
   */
  private static double rateLimitFactor(UpstreamState s, long at) {
    if (s.rateLimit().limit().isEmpty()) {
      return 1;
    }
    return s.rateLimit().isStale(at) ? STALE_RATE_LIMIT_FACTOR : RATE_LIMITED_FACTOR;
  }
}
