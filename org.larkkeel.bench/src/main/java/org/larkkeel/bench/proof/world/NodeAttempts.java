/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

import java.util.HashMap;
import java.util.Map;
import org.larkkeel.effect.Effect;
import org.larkkeel.event.CancelOutcome;
import org.larkkeel.event.Event;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;
import org.larkkeel.http.upstream.EngineRequestId;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;

/**
 * Performs the router's effects on upstreams. Answers that arrive after a timeout are passed to the
 * router too, because the router must recognise and ignore them itself.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class NodeAttempts {
  private static final long ONE_WAY_NANOS = VirtualTime.MILLI;
  private static final long CANCEL_TIMEOUT_NANOS = 500 * VirtualTime.MILLI;

  private final World world;
  private final Node node;
  private final Map<AttemptId, RequestId> requests = new HashMap<>();
  private final Map<AttemptId, Step> steps = new HashMap<>();
  private int pendingCancels;

  NodeAttempts(World world, Node node) {
    this.world = world;
    this.node = node;
  }

  void register(AttemptId attempt, RequestId request) {
    requests.put(attempt, request);
  }

  RequestId requestOf(AttemptId attempt) {
    return requests.get(attempt);
  }

  /** Returns whether no cancel is in progress. */
  boolean isIdle() {
    return pendingCancels == 0;
  }

  void prefill(Effect.StartPrefill e) {
    Step step = new Step(e, e.attempt(), e.request());
    step.startTimeout(e.timeoutNanos());
    Engine engine = world.engine(e.upstream());
    sendToUpstream(() -> engine.prefill(step.job()));
  }

  void transfer(Effect.StartTransfer e) {
    Step step = new Step(e, e.attempt(), e.request());
    step.startTimeout(e.timeoutNanos());
    Engine engine = world.engine(e.to());
    Engine source = world.engine(e.from());
    sendToUpstream(() -> engine.transfer(step.job(), engineRequestId(e.prefill()), source));
  }

  void decode(Effect.StartDecode e) {
    Step step = new Step(e, e.attempt(), e.request());
    step.startIdleTimeout(e.timeoutNanos());
    Connection connection = node.connection(e.request());
    if (connection != null) {
      connection.setCurrent(e.attempt());
    }
    Engine engine = world.engine(e.upstream());
    sendToUpstream(() -> engine.decode(step.job(), e.resumeFrom()));
  }

  void plain(Effect.SendPlain e) {
    Step step = new Step(e, e.attempt(), e.request());
    step.startTimeout(e.timeoutNanos());
    Connection connection = node.connection(e.request());
    boolean repeatable = connection != null && connection.isRepeatable();
    Engine service = world.engine(e.upstream());
    sendToUpstream(() -> service.serve(step.job(), repeatable));
  }

  void cancel(Effect.Cancel e) {
    Step step = steps.remove(e.attempt());
    if (step != null) {
      step.abort();
    }
    Connection connection = node.connection(e.request());
    if (connection != null) {
      connection.clearCurrent(e.attempt());
    }
    new CancelCall(e).start();
  }

  private EngineRequestId engineRequestId(AttemptId attempt) {
    return new EngineRequestId(new EngineRequestId.Origin(node.host, node.incarnation), attempt);
  }

  private void sendToUpstream(Runnable message) {
    world.platform().after(ONE_WAY_NANOS, message);
  }

  /** One cancel request to an upstream. */
  private final class CancelCall {
    private final Effect.Cancel effect;
    private boolean settled;

    CancelCall(Effect.Cancel effect) {
      this.effect = effect;
    }

    void start() {
      pendingCancels++;
      Engine engine = world.engine(effect.upstream());
      sendToUpstream(() -> cancelAtEngine(engine, effect.upstream()));
      node.process.after(CANCEL_TIMEOUT_NANOS, () -> settle(CancelOutcome.FAILED));
    }

    private void cancelAtEngine(Engine engine, UpstreamName name) {
      if (!engine.isAvailable()) {
        node.process.after(ONE_WAY_NANOS, () -> settle(CancelOutcome.FAILED));
        return;
      }
      engine.cancel(engineRequestId(effect.attempt()));
      world.reachStep(effect, Moment.AFTER_EFFECT, node, effect.request());
      node.process.after(ONE_WAY_NANOS, () -> settle(CancelOutcome.ACKNOWLEDGED));
    }

    private void settle(CancelOutcome outcome) {
      if (settled) {
        return;
      }
      settled = true;
      pendingCancels--;
      node.apply(new Event.CancelSettled(world.time().now(), effect.attempt(), outcome));
      world.reachStep(effect, Moment.AFTER_ANSWER, node, effect.request());
    }
  }

  /** One step of an attempt: a prefill, transfer, decode or plain call. */
  private final class Step implements Reply {
    private final Effect effect;
    private final AttemptId attempt;
    private final RequestId request;
    private boolean aborted;
    private boolean answered;
    private boolean closed;
    private boolean firstTokenPending = true;
    private long receivedPieces;
    private long nextDeliveryAt;

    Step(Effect effect, AttemptId attempt, RequestId request) {
      this.effect = effect;
      this.attempt = attempt;
      this.request = request;
      steps.put(attempt, this);
    }

    Engine.Job job() {
      Connection connection = node.connection(request);
      CallerRecord caller = world.observations().caller(request);
      String identity = connection == null ? caller.identity : connection.caller().identity;
      return new Engine.Job(
          engineRequestId(attempt), request, identity, caller.expectedPieces, this);
    }

    void abort() {
      aborted = true;
      answered = true;
    }

    void startTimeout(long nanos) {
      if (nanos > 0) {
        node.process.after(nanos, this::timeOut);
      }
    }

    void startIdleTimeout(long nanos) {
      long countBefore = receivedPieces;
      node.process.after(
          nanos,
          () -> {
            if (receivedPieces == countBefore) {
              timeOut();
            } else {
              startIdleTimeout(nanos);
            }
          });
    }

    private void timeOut() {
      if (!answered) {
        failNow(FailureCause.TIMED_OUT, Exposure.MAY_HAVE_RUN);
      }
    }

    @Override
    public void accepted() {
      world.reachStep(effect, Moment.AFTER_EFFECT, node, request);
    }

    @Override
    public void sendPiece(CallerRecord.Piece piece) {
      deliver(() -> onPiece(piece));
    }

    private void onPiece(CallerRecord.Piece piece) {
      receivedPieces++;
      Connection connection = node.connection(request);
      if (aborted || connection == null) {
        return;
      }
      if (connection.accept(attempt, piece) && firstTokenPending) {
        firstTokenPending = false;
        node.apply(new Event.FirstToken(world.time().now(), attempt));
      }
    }

    @Override
    public void complete(EventFactory event) {
      deliver(
          () -> {
            answered = true;
            node.apply(event.at(world.time().now()));
            world.reachStep(effect, Moment.AFTER_ANSWER, node, request);
          });
    }

    @Override
    public void fail(FailureCause cause, Exposure exposure) {
      failLater(cause, exposure);
      closed = true;
    }

    private void failLater(FailureCause cause, Exposure exposure) {
      deliver(
          () -> {
            if (!answered) {
              failNow(cause, exposure);
            }
          });
    }

    private void failNow(FailureCause cause, Exposure exposure) {
      answered = true;
      Connection connection = node.connection(request);
      int tokens = connection == null ? 0 : connection.deliveredPieces();
      node.apply(new Event.AttemptFailed(world.time().now(), attempt, cause, exposure, tokens));
      world.reachStep(effect, Moment.AFTER_ANSWER, node, request);
    }

    private void deliver(Runnable delivery) {
      if (closed) {
        return;
      }
      nextDeliveryAt =
          Math.max(nextDeliveryAt, world.time().now() + ONE_WAY_NANOS + world.answerDelay());
      node.process.at(nextDeliveryAt, delivery);
    }
  }
}
