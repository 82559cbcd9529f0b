/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import com.google.common.collect.ImmutableSortedSet;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import org.larkkeel.config.Configuration;
import org.larkkeel.http.upstream.EngineClient;
import org.larkkeel.lib.HostName;
import org.larkkeel.peer.ownership.Ownership;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.lease.Lease;
import org.larkkeel.store.log.WriterId;
import org.larkkeel.store.order.OrderController;
import org.larkkeel.store.order.OrderLimits;
import org.larkkeel.store.order.WeightStore;

/**
 * The components of a node that send orders to engines.
 *
 * <p>Safe for use by several threads.
 */
final class OrderModule implements AutoCloseable {
  private final OrderController controller;

  /** The components of the rest of the node that this module uses. */
  record Dependencies(
      WriterId self,
      ObjectApi api,
      Scheduler scheduler,
      EngineClient engines,
      WeightStore weights,
      Supplier<Configuration> configuration,
      Supplier<ImmutableSortedSet<HostName>> live,
      MeterRegistry meters) {}

  OrderModule(Dependencies dependencies, OrderLimits limits, long seed) {
    Lease lease =
        new Lease(
            dependencies.api(),
            OrderController.LEASE,
            dependencies.self(),
            dependencies.scheduler(),
            new SplittableRandom(seed),
            limits.leaseDuration());
    controller =
        new OrderController(
            new OrderController.Dependencies(
                lease,
                dependencies.scheduler(),
                new EngineOrders(dependencies.engines()),
                dependencies.weights(),
                dependencies.configuration(),
                () -> isCandidate(dependencies.live().get(), dependencies.self().host()),
                new OrderLog(dependencies.meters())),
            limits);
  }

  /**
   * Returns whether a host competes for the order controller's lease. Only a few hosts do, so that
   * the load on the store does not grow with the size of the cluster.
   */
  static boolean isCandidate(ImmutableSortedSet<HostName> live, HostName self) {
    return new Ownership(live)
        .ownersOf(OrderController.LEASE, OrderController.CANDIDATE_HOSTS)
        .contains(self);
  }

  void start() {
    controller.start();
  }

  /** Releases the lease to the other candidates and sends no further orders. */
  void release() {
    controller.release();
  }

  @Override
  public void close() {
    controller.close();
  }
}
