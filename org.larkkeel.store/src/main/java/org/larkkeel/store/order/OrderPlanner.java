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
import org.larkkeel.store.lease.Tenure;

/**
 * Plans the orders that bring engines to their declared shape. Pure; each call stands alone.
 *
 * <p>Invariants: nothing is ordered without the lease, or too close to its end. An engine that
 * ignores old fencing numbers gets no order before the lease of any earlier holder and the longest
 * pause are over and its state has been read after that. An order that takes a model or a role away
 * leaves another live engine that serves the model in that role and that no order in this plan or
 * in progress takes away: also none of an earlier holder, which may still arrive at an engine that
 * has not yet taken an order of this one. At most one order for an engine is in progress.
 *
 * @since 0.1
 */
public final class OrderPlanner {
  private final OrderLimits limits;

  /**
   * Creates a planner.
   *
   * @param limits bounds
   */
  public OrderPlanner(OrderLimits limits) {
    this.limits = limits;
  }

  /**
   * Plans the next steps.
   *
   * @param now the time in nanoseconds
   * @param tenure the controller's lease, empty if it is not held
   * @param engines all engines
   * @param pullsInProgress transfers that the weight store is busy with
   * @return steps that may all begin now
   */
  public ImmutableList<OrderStep> plan(
      long now, Optional<Tenure> tenure, List<EngineView> engines, int pullsInProgress) {
    if (tenure.filter(t -> isLongEnough(t, now)).isEmpty()) {
      return ImmutableList.of();
    }
    return new Plan(now, tenure.get(), engines, limits.maxPulls() - pullsInProgress).steps();
  }

  private boolean isLongEnough(Tenure t, long now) {
    return t.until() - now > limits.orderTimeout().toNanos();
  }

  /** Earlier holders' orders have all arrived by then. */
  private long quietAt(Tenure t) {
    return t.since() + limits.leaseDuration().toNanos() + limits.longestPause().toNanos();
  }

  /** One plan in the making. */
  private final class Plan {
    private final long now;
    private final Tenure tenure;
    private final List<EngineView> engines;
    private final Set<UpstreamName> busy = new HashSet<>();
    private final List<OrderStep> steps = new ArrayList<>();
    private int pullsLeft;

    Plan(long now, Tenure tenure, List<EngineView> engines, int pullsLeft) {
      this.now = now;
      this.tenure = tenure;
      this.pullsLeft = pullsLeft;
      this.engines = engines;
      engines.stream().filter(EngineView::inProgress).forEach(e -> busy.add(e.upstream()));
    }

    ImmutableList<OrderStep> steps() {
      Comparator<EngineView> scarceFirst = Comparator.comparingLong(this::servedElsewhere);
      engines.stream()
          .filter(e -> e.live() && !e.inProgress() && e.declared().isPresent())
          .sorted(scarceFirst.thenComparing(EngineView::upstream))
          .forEach(this::step);
      return ImmutableList.copyOf(steps);
    }

    /** How many engines serve the model of this one that is served least. */
    private long servedElsewhere(EngineView e) {
      EngineShape declared = e.declared().get();
      return declared.models().stream()
          .mapToLong(m -> servers(m, declared.role()))
          .min()
          .orElse(Long.MAX_VALUE);
    }

    private void step(EngineView e) {
      if (e.readBack().isEmpty()) {
        steps.add(new OrderStep.ReadBack(e.upstream()));
        return;
      }
      EngineShape is = e.readBack().get();
      EngineShape should = e.declared().get();
      if (is.satisfies(should) || !mayOrder(e)) {
        return;
      }
      Set<ModelName> missing = Sets.difference(should.models(), is.models());
      Set<AdapterName> adapters = Sets.difference(should.adapters(), is.adapters());
      if (!missing.isEmpty()) {
        load(e, should, missing);
      } else if (is.role() != should.role()) {
        changeRole(e, is, should);
      } else if (!adapters.isEmpty()) {
        send(e, new Order.LoadAdapter(adapters.iterator().next()));
      } else {
        changeModels(e, is, should);
      }
    }

    private void load(EngineView e, EngineShape should, Set<ModelName> models) {
      List<ModelVersion> versions = models.stream().map(should::version).toList();
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
      long quiet = quietAt(tenure);
      if (now - quiet < 0) {
        return false;
      }
      if (e.readSentAt() - quiet < 0) {
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

    private void changeRole(EngineView e, EngineShape is, EngineShape should) {
      if (is.models().stream().allMatch(m -> remainsWithout(e, m, is.role()))) {
        send(e, new Order.SetRole(should.role()));
      }
    }

    /** A model is not served while its version changes, so that takes it away as well. */
    private void changeModels(EngineView e, EngineShape is, EngineShape should) {
      List<ModelName> outdated =
          Sets.intersection(is.models(), should.models()).stream()
              .filter(m -> !is.version(m).satisfies(should.version(m)))
              .filter(m -> remainsWithout(e, m, is.role()))
              .toList();
      if (!outdated.isEmpty()) {
        load(e, should, Set.copyOf(outdated));
        return;
      }
      Sets.difference(is.models(), should.models()).stream()
          .filter(m -> remainsWithout(e, m, is.role()))
          .findFirst()
          .ifPresent(m -> send(e, new Order.UnloadModel(m)));
    }

    private boolean remainsWithout(EngineView e, ModelName m, Role role) {
      return !isWanted(m, role)
          || engines.stream().anyMatch(o -> o != e && isSettled(o) && serves(o, m, role));
    }

    /** Whether no order of an earlier holder can change the engine any more. */
    private boolean isSettled(EngineView e) {
      boolean raised =
          e.fencing() == FencingSupport.CHECKED && e.readFencing().equals(tenure.fencing());
      return raised || e.readSentAt() - quietAt(tenure) >= 0;
    }

    /** A model that no pool declares in a role may lose its last engine there. */
    private boolean isWanted(ModelName m, Role role) {
      return engines.stream()
          .flatMap(e -> e.declared().stream())
          .anyMatch(d -> d.role() == role && d.models().contains(m));
    }

    private long servers(ModelName m, Role role) {
      return engines.stream().filter(e -> serves(e, m, role)).count();
    }

    private boolean serves(EngineView e, ModelName m, Role role) {
      return e.live()
          && !busy.contains(e.upstream())
          && e.declared().isPresent()
          && e.readBack().filter(s -> s.role() == role && s.models().contains(m)).isPresent();
    }

    private void send(EngineView e, Order order) {
      busy.add(e.upstream());
      steps.add(new OrderStep.Send(e.upstream(), tenure.fencing(), order));
    }
  }
}
