/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.FencingSupport;
import org.larkkeel.config.Role;
import org.larkkeel.config.Upstream;
import org.larkkeel.lib.FencingNumber;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.Labels;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.store.InMemoryObjectApi;
import org.larkkeel.store.InMemoryStore;
import org.larkkeel.store.ManualScheduler;
import org.larkkeel.store.lease.Lease;
import org.larkkeel.store.log.WriterId;

/** Controllers, engines and a weight store in virtual time, for tests. */
final class OrderRig {
  final ManualScheduler time = new ManualScheduler();
  final InMemoryStore store = new InMemoryStore(time);
  final ManualScheduler.Process platform = time.newProcess();
  final Map<String, Engine> engines = new TreeMap<>();
  final List<Runnable> checks = new ArrayList<>();
  Configuration configuration = Configuration.EMPTY;
  Supplier<Duration> transmissionTime = () -> Duration.ofMillis(1);
  Supplier<PullResult> weights = () -> new PullResult.Started(Duration.ofSeconds(1));
  int pulls;

  static ImmutableSet<ModelName> models(String... names) {
    return List.of(names).stream().map(ModelName::new).collect(ImmutableSet.toImmutableSet());
  }

  Engine engine(String name, FencingSupport fencing, Role role, String... models) {
    Engine e = new Engine(name, fencing, new EngineShape(role, models(models)));
    engines.put(name, e);
    return e;
  }

  /** Declares an engine's role and models, in place of its previous declaration. */
  void declare(String name, Map<String, String> labels, String... models) {
    Upstream u =
        new Upstream(
            new UpstreamName(name),
            "127.0.0.1:1",
            Labels.of(labels),
            models(models),
            1,
            engines.get(name).fencing,
            1);
    Map<UpstreamName, Upstream> all = new TreeMap<>(configuration.upstreams());
    all.put(u.name(), u);
    configuration =
        new Configuration(
            new Revision(configuration.revision().value() + 1),
            ImmutableSortedMap.copyOf(all),
            ImmutableSortedMap.of(),
            ImmutableSortedMap.of(),
            ImmutableSortedMap.of());
  }

  void advance(int seconds) {
    time.advance(Duration.ofSeconds(seconds));
  }

  Node node(String host) {
    return new Node(host);
  }

  /**
   * An engine that records the fencing numbers of the orders that it accepted and refused, in the
   * order of their arrival.
   */
  final class Engine {
    final FencingSupport fencing;
    final List<Long> accepted = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    EngineShape shape;
    private long highestFencing;

    Engine(String name, FencingSupport fencing, EngineShape shape) {
      this.fencing = fencing;
      this.shape = shape;
    }

    boolean serves(String model, Role role) {
      return shape.role() == role && shape.models().contains(new ModelName(model));
    }

    private OrderResult receive(long number, Order order) {
      if (fencing == FencingSupport.CHECKED && number < highestFencing) {
        refused.add(number);
        return OrderResult.STALE_FENCING;
      }
      highestFencing = number;
      accepted.add(number);
      shape = apply(order);
      checks.forEach(Runnable::run);
      return OrderResult.IN_FORCE;
    }

    private EngineShape apply(Order order) {
      Set<ModelName> models = new LinkedHashSet<>(shape.models());
      ImmutableMap<ModelName, String> versions = shape.versions();
      switch (order) {
        case Order.LoadModel o -> {
          models.add(o.model().model());
          versions = ImmutableMap.of(o.model().model(), o.model().version());
        }
        case Order.UnloadModel o -> models.remove(o.model());
        case Order.LoadAdapter o -> {
          return new EngineShape(
              shape.role(), shape.models(), versions, ImmutableSet.of(o.adapter()));
        }
        case Order.SetRole o -> {
          return new EngineShape(o.role(), shape.models(), versions, shape.adapters());
        }
      }
      return new EngineShape(shape.role(), ImmutableSet.copyOf(models), versions, shape.adapters());
    }
  }

  /** A process with a controller. */
  final class Node implements EnginePort, OrderListener {
    final ManualScheduler.Process process = time.newProcess();
    final InMemoryObjectApi api = new InMemoryObjectApi(store, process);
    final List<OrderResult> results = new ArrayList<>();
    final Lease lease;
    final OrderController controller;
    Duration connectTime = Duration.ofMillis(1);
    boolean losesConnections;
    int orderCount;

    Node(String host) {
      WriterId id = new WriterId(new HostName(host), new Incarnation(1));
      OrderLimits limits = OrderLimits.DEFAULT;
      lease =
          new Lease(
              api,
              OrderController.LEASE,
              id,
              process,
              new Random(host.hashCode()),
              limits.leaseDuration());
      controller =
          new OrderController(
              new OrderController.Dependencies(
                  lease, process, this, this::pull, () -> configuration, () -> true, this),
              limits);
      controller.start();
    }

    private CompletableFuture<PullResult> pull(UpstreamName upstream, ModelVersion model) {
      pulls++;
      return CompletableFuture.completedFuture(weights.get());
    }

    @Override
    public CompletableFuture<EngineReport> read(Upstream upstream) {
      CompletableFuture<EngineReport> result = new CompletableFuture<>();
      Engine e = engines.get(upstream.name().value());
      platform.execute(
          () -> {
            EngineReport r = new EngineReport(e.shape, new FencingNumber(e.highestFencing));
            process.execute(() -> result.complete(r));
          });
      return result;
    }

    /**
     * Sends an order. The process may be paused before it checks whether it may send, and again
     * before it sends.
     */
    @Override
    public CompletableFuture<OrderResult> order(
        Upstream upstream,
        FencingNumber fencing,
        Order order,
        BooleanSupplier allowed,
        Duration timeout) {
      orderCount++;
      CompletableFuture<OrderResult> result = new CompletableFuture<>();
      Engine e = engines.get(upstream.name().value());
      Runnable arrive =
          () -> {
            OrderResult r = e.receive(fencing.value(), order);
            process.execute(() -> result.complete(r));
          };
      process.schedule(
          connectTime,
          () -> {
            if (allowed.getAsBoolean()) {
              process.execute(() -> platform.schedule(transmissionTime.get(), arrive));
              if (losesConnections) {
                result.complete(OrderResult.UNKNOWN);
              }
            } else {
              result.complete(OrderResult.NOT_SENT);
            }
          });
      process.schedule(timeout, () -> result.complete(OrderResult.UNKNOWN));
      return result;
    }

    @Override
    public void ordered(
        UpstreamName upstream, Order order, FencingNumber fencing, OrderResult result) {
      results.add(result);
    }

    @Override
    public void pulled(UpstreamName upstream, ModelVersion model, PullResult result) {}
  }
}
