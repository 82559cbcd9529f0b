/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import io.micrometer.core.instrument.MeterRegistry;
import org.larkkeel.errors.Slugs;
import org.larkkeel.lib.FencingNumber;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.store.order.ModelVersion;
import org.larkkeel.store.order.Order;
import org.larkkeel.store.order.OrderListener;
import org.larkkeel.store.order.OrderResult;
import org.larkkeel.store.order.PullResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs and counts orders to engines and pulls of weights.
 *
 * <p>Safe for use by several threads.
 */
final class OrderLog implements OrderListener {
  private static final Logger log = LoggerFactory.getLogger(OrderLog.class);

  private final MeterRegistry meters;

  OrderLog(MeterRegistry meters) {
    this.meters = meters;
  }

  @Override
  public void ordered(
      UpstreamName upstream, Order order, FencingNumber fencing, OrderResult result) {
    log.info(
        "event={} upstream={} order={} fencing={} result={}",
        eventName(result),
        upstream,
        toText(order),
        fencing,
        Slugs.of(result));
    meters.counter("larkkeel.orders", "result", Slugs.of(result)).increment();
  }

  @Override
  public void pulled(UpstreamName upstream, ModelVersion model, PullResult result) {
    String resultName =
        switch (result) {
          case PullResult.Started s -> "started";
          case PullResult.Throttled t -> "throttled";
          case PullResult.Failed f -> "failed";
        };
    log.info("event=weights_pull upstream={} model={} result={}", upstream, model, resultName);
    meters.counter("larkkeel.weights.pulls", "result", resultName).increment();
  }

  private static String eventName(OrderResult result) {
    return switch (result) {
      case IN_FORCE -> "ordered";
      case STALE_FENCING, REFUSED -> "order_refused";
      case NOT_SENT -> "order_not_sent";
      case UNKNOWN -> "order_unknown";
    };
  }

  private static String toText(Order order) {
    return switch (order) {
      case Order.LoadModel o -> "load_model:" + o.model();
      case Order.UnloadModel o -> "unload_model:" + o.model();
      case Order.LoadAdapter o -> "load_adapter:" + o.adapter();
      case Order.SetRole o -> "set_role:" + Slugs.of(o.role());
    };
  }
}
