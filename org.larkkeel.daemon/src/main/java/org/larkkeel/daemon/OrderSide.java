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
 * Everything of a node that gives orders to engines.
 *
 * <p>Safe for use by several threads.
 */
final class OrderSide implements AutoCloseable {
  private final OrderController controller;

  /** What this side needs from the rest of the node. */
  record Parts(
      WriterId self,
      ObjectApi api,
      Scheduler scheduler,
      EngineClient engines,
      WeightStore weights,
      Supplier<Configuration> configuration,
      Supplier<ImmutableSortedSet<HostName>> live,
      MeterRegistry meters) {}

  OrderSide(Parts parts, OrderLimits limits, long seed) {
    Lease lease =
        new Lease(
            parts.api(),
            OrderController.LEASE,
            parts.self(),
            parts.scheduler(),
            new SplittableRandom(seed),
            limits.leaseDuration());
    controller =
        new OrderController(
            new OrderController.Parts(
                lease,
                parts.scheduler(),
                new EngineOrders(parts.engines()),
                parts.weights(),
                parts.configuration(),
                () -> isCandidate(parts.live().get(), parts.self().host()),
                new OrderLog(parts.meters())),
            limits);
  }

  /** Few hosts seek the lease, so that the store's load does not grow with the fleet. */
  static boolean isCandidate(ImmutableSortedSet<HostName> live, HostName self) {
    return new Ownership(live)
        .ownersOf(OrderController.LEASE, OrderController.CANDIDATES)
        .contains(self);
  }

  void start() {
    controller.start();
  }

  /** Hands the lease over; nothing is ordered any more. */
  void release() {
    controller.release();
  }

  @Override
  public void close() {
    controller.close();
  }
}
