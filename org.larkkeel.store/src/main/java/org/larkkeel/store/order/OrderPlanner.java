/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.larkkeel.config.FencingSupport;
import org.larkkeel.config.Role;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.store.lease.LeaseTerm;

/**
 * Plans the orders that bring engines to their declared shape. It keeps no state between calls and
 * does no I/O.
 *
 * <p>Invariants: nothing is ordered without the lease, or too close to its end. An engine that
 * ignores stale fencing numbers gets no order before the lease of any earlier holder has expired,
 * the longest pause has passed and the engine's state has been read after that. An order that
 * removes a model or a role requires another live engine that serves the model in that role and
 * that no order in this plan or in progress affects. That includes orders of an earlier holder,
 * which may still reach an engine that has not yet accepted an order of this holder. At most one
 * order per engine is in progress.
 *
 * @since 0.1
 */
public final class OrderPlanner {
  private final OrderLimits limits;

  /**
   * Creates a planner.
   *
   * @param limits the time limits and the number of concurrent pulls
   */
  public OrderPlanner(OrderLimits limits) {
    this.limits = limits;
  }

  /**
   * Plans the next steps.
   *
   * @param now the time in nanoseconds
   * @param term the term of the controller's lease, empty if it is not held
   * @param engines all engines
   * @param pullsInProgress the number of transfers of weights in progress
   * @return the steps, which may all be executed now
   */
  public ImmutableList<OrderStep> plan(
      long now, Optional<LeaseTerm> term, List<EngineView> engines, int pullsInProgress) {
    if (term.filter(t -> isLongEnough(t, now)).isEmpty()) {
      return ImmutableList.of();
    }
    return new Plan(now, term.get(), engines, limits.maxPulls() - pullsInProgress).steps();
  }

  private boolean isLongEnough(LeaseTerm t, long now) {
    return t.untilNanos() - now > limits.orderTimeout().toNanos();
  }

  /** Returns the time by which all orders of earlier holders have arrived, in nanoseconds. */
  private long earlierOrdersSettledNanos(LeaseTerm t) {
    return t.sinceNanos() + limits.leaseDuration().toNanos() + limits.maxPause().toNanos();
  }

  /** The state of one call of {@link #plan}. */
  private final class Plan {
    private final long now;
    private final LeaseTerm term;
    private final List<EngineView> engines;
    private final Set<UpstreamName> enginesWithOrders = new HashSet<>();
    private final List<OrderStep> steps = new ArrayList<>();
    private int pullsLeft;

    Plan(long now, LeaseTerm term, List<EngineView> engines, int pullsLeft) {
      this.now = now;
      this.term = term;
      this.pullsLeft = pullsLeft;
      this.engines = engines;
      engines.stream()
          .filter(EngineView::inProgress)
          .forEach(e -> enginesWithOrders.add(e.upstream()));
    }

    ImmutableList<OrderStep> steps() {
      Comparator<EngineView> leastServedFirst = Comparator.comparingLong(this::minServers);
      engines.stream()
          .filter(e -> e.live() && !e.inProgress() && e.declared().isPresent())
          .sorted(leastServedFirst.thenComparing(EngineView::upstream))
          .forEach(this::planStep);
      return ImmutableList.copyOf(steps);
    }

    /** Returns the number of engines that serve the least served of an engine's declared models. */
    private long minServers(EngineView e) {
      EngineShape declared = e.declared().get();
      return declared.models().stream()
          .mapToLong(m -> countServers(m, declared.role()))
          .min()
          .orElse(Long.MAX_VALUE);
    }

    private void planStep(EngineView e) {
      if (e.reported().isEmpty()) {
        steps.add(new OrderStep.ReadBack(e.upstream()));
        return;
      }
      EngineShape reported = e.reported().get();
      EngineShape declared = e.declared().get();
      if (reported.satisfies(declared) || !mayOrder(e)) {
        return;
      }
      Set<ModelName> missing = Sets.difference(declared.models(), reported.models());
      Set<AdapterName> adapters = Sets.difference(declared.adapters(), reported.adapters());
      if (!missing.isEmpty()) {
        load(e, declared, missing);
      } else if (reported.role() != declared.role()) {
        changeRole(e, reported, declared);
      } else if (!adapters.isEmpty()) {
        send(e, new Order.LoadAdapter(adapters.iterator().next()));
      } else {
        changeModels(e, reported, declared);
      }
    }

    private void load(EngineView e, EngineShape declared, Set<ModelName> models) {
      List<ModelVersion> versions = models.stream().map(declared::version).toList();
      versions.stream()
          .filter(e.pulled()::contains)
          .findFirst()
          .ifPresentOrElse(
              m -> send(e, new Order.LoadModel(m)), () -> pull(e, versions.getFirst()));
    }

    private boolean mayOrder(EngineView e) {
      if (e.fencing() == FencingSupport.CHECKED) {
        return true;
      }
      long settledNanos = earlierOrdersSettledNanos(term);
      if (now - settledNanos < 0) {
        return false;
      }
      if (e.readSentAtNanos() - settledNanos < 0) {
        steps.add(new OrderStep.ReadBack(e.upstream()));
        return false;
      }
      return true;
    }

    private void pull(EngineView e, ModelVersion m) {
      if (pullsLeft > 0) {
        pullsLeft--;
        steps.add(new OrderStep.Pull(e.upstream(), m));
      }
    }

    private void changeRole(EngineView e, EngineShape reported, EngineShape declared) {
      if (reported.models().stream().allMatch(m -> staysServedWithout(e, m, reported.role()))) {
        send(e, new Order.SetRole(declared.role()));
      }
    }

    /**
     * Replaces or unloads a model. A model is not served while its version changes, so another
     * engine must serve it in both cases.
     */
    private void changeModels(EngineView e, EngineShape reported, EngineShape declared) {
      List<ModelName> outdated =
          Sets.intersection(reported.models(), declared.models()).stream()
              .filter(m -> !reported.version(m).satisfies(declared.version(m)))
              .filter(m -> staysServedWithout(e, m, reported.role()))
              .toList();
      if (!outdated.isEmpty()) {
        load(e, declared, Set.copyOf(outdated));
        return;
      }
      Sets.difference(reported.models(), declared.models()).stream()
          .filter(m -> staysServedWithout(e, m, reported.role()))
          .findFirst()
          .ifPresent(m -> send(e, new Order.UnloadModel(m)));
    }

    private boolean staysServedWithout(EngineView e, ModelName m, Role role) {
      return !isDeclared(m, role)
          || engines.stream()
              .anyMatch(o -> o != e && isUnaffectedByEarlierOrders(o) && serves(o, m, role));
    }

    /** Returns whether no order of an earlier holder can still change the engine. */
    private boolean isUnaffectedByEarlierOrders(EngineView e) {
      boolean acceptedCurrentTerm =
          e.fencing() == FencingSupport.CHECKED && e.reportedFencing().equals(term.fencing());
      return acceptedCurrentTerm || e.readSentAtNanos() - earlierOrdersSettledNanos(term) >= 0;
    }

    /**
     * Returns whether an engine declares a model in a role; otherwise the model may lose its last
     * engine in that role.
     */
    private boolean isDeclared(ModelName m, Role role) {
      return engines.stream()
          .flatMap(e -> e.declared().stream())
          .anyMatch(d -> d.role() == role && d.models().contains(m));
    }

    private long countServers(ModelName m, Role role) {
      return engines.stream().filter(e -> serves(e, m, role)).count();
    }

    private boolean serves(EngineView e, ModelName m, Role role) {
      return e.live()
          && !enginesWithOrders.contains(e.upstream())
          && e.declared().isPresent()
          && e.reported().filter(s -> s.role() == role && s.models().contains(m)).isPresent();
    }

    private void send(EngineView e, Order order) {
      enginesWithOrders.add(e.upstream());
      steps.add(new OrderStep.Send(e.upstream(), term.fencing(), order));
    }
  }
}
