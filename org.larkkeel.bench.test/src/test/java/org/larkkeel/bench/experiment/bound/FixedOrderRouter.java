/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.bound;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.larkkeel.bench.experiment.policy.RoutingPolicy;
import org.larkkeel.effect.Effect;
import org.larkkeel.effect.EffectSink;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.Event;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;

/** Runs given requests in a fixed order on one prefill and one decode engine; refuses others. */
final class FixedOrderRouter implements RoutingPolicy {
  private static final UpstreamName PREFILL = new UpstreamName("p-0");
  private static final UpstreamName DECODE = new UpstreamName("d-0");
  private static final long FIRST_TRANSFER_ATTEMPT = 10_000;
  private static final long LONG_TIMEOUT_NANOS = 60_000_000_000L;

  private final List<Integer> order;
  private final Map<RequestId, Boolean> arrived = new HashMap<>();
  private final Map<AttemptId, RequestId> transfers = new HashMap<>();
  private int nextIndex;
  private boolean isPrefilling;
  private long lastTransferAttempt = FIRST_TRANSFER_ATTEMPT;

  FixedOrderRouter(List<Integer> order) {
    this.order = order;
  }

  @Override
  public void apply(Event event, EffectSink sink) {
    switch (event) {
      case Event.RequestArrived a -> {
        arrived.put(a.call().id(), true);
        if (!order.contains((int) a.call().id().value() - 1)) {
          sink.accept(new Effect.Refuse(a.call().id(), ErrorKind.OVERLOADED, 0, ""));
        }
      }
      case Event.PrefillDone done -> {
        isPrefilling = false;
        transfer(new RequestId(done.attempt().value()), sink);
      }
      case Event.TransferDone done ->
          sink.accept(
              new Effect.StartDecode(
                  done.attempt(), transfers.get(done.attempt()), DECODE, 0, 0, LONG_TIMEOUT_NANOS));
      case Event.DecodeDone done ->
          sink.accept(new Effect.Complete(transfers.get(done.attempt()), done.attempt()));
      case Event.AttemptFailed failed -> retry(failed, sink);
      default -> {}
    }
    if (!isPrefilling
        && nextIndex < order.size()
        && arrived.containsKey(id(order.get(nextIndex)))) {
      RequestId id = id(order.get(nextIndex++));
      isPrefilling = true;
      AttemptId attempt = new AttemptId(id.value());
      sink.accept(new Effect.StartPrefill(attempt, id, PREFILL, 0, 0, LONG_TIMEOUT_NANOS));
    }
  }

  private void retry(Event.AttemptFailed failed, EffectSink sink) {
    RequestId request = transfers.get(failed.attempt());
    switch (failed.cause()) {
      case NO_SLOT -> transfer(request, sink);
      default -> sink.accept(new Effect.Refuse(request, ErrorKind.UPSTREAM_FAILED, 0, ""));
    }
  }

  private void transfer(RequestId request, EffectSink sink) {
    AttemptId attempt = new AttemptId(++lastTransferAttempt);
    transfers.put(attempt, request);
    AttemptId prefill = new AttemptId(request.value());
    sink.accept(
        new Effect.StartTransfer(attempt, request, prefill, PREFILL, DECODE, LONG_TIMEOUT_NANOS));
  }

  private static RequestId id(int index) {
    return new RequestId(index + 1);
  }
}
