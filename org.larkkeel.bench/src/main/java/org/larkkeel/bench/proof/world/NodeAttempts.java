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
 * Carries out what the router orders of upstreams. Answers that come after a timeout are passed on
 * as they are, since the router has to tell them apart.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class NodeAttempts {
  private static final long ONE_WAY = VirtualTime.MILLI;
  private static final long CANCEL_TIMEOUT = 500 * VirtualTime.MILLI;

  private final World world;
  private final Node node;
  private final Map<AttemptId, RequestId> requests = new HashMap<>();
  private final Map<AttemptId, Step> steps = new HashMap<>();
  private int cancels;

  NodeAttempts(World world, Node node) {
    this.world = world;
    this.node = node;
  }

  void remember(AttemptId attempt, RequestId request) {
    requests.put(attempt, request);
  }

  RequestId requestOf(AttemptId attempt) {
    return requests.get(attempt);
  }

  /** Whether no cancel is under way. */
  boolean isIdle() {
    return cancels == 0;
  }

  void prefill(Effect.StartPrefill e) {
    Step step = new Step(e, e.attempt(), e.request());
    step.limit(e.timeoutNanos());
    Engine engine = world.engine(e.upstream());
    toUpstream(() -> engine.prefill(step.job()));
  }

  void transfer(Effect.StartTransfer e) {
    Step step = new Step(e, e.attempt(), e.request());
    step.limit(e.timeoutNanos());
    Engine engine = world.engine(e.to());
    Engine source = world.engine(e.from());
    toUpstream(() -> engine.transfer(step.job(), id(e.prefill()), source));
  }

  void decode(Effect.StartDecode e) {
    Step step = new Step(e, e.attempt(), e.request());
    step.limitSilence(e.timeoutNanos());
    Connection connection = node.connection(e.request());
    if (connection != null) {
      connection.begin(e.attempt());
    }
    Engine engine = world.engine(e.upstream());
    toUpstream(() -> engine.decode(step.job(), e.resumeFrom()));
  }

  void plain(Effect.SendPlain e) {
    Step step = new Step(e, e.attempt(), e.request());
    step.limit(e.timeoutNanos());
    Connection connection = node.connection(e.request());
    boolean repeatable = connection != null && connection.isRepeatable();
    Engine service = world.engine(e.upstream());
    toUpstream(() -> service.serve(step.job(), repeatable));
  }

  void cancel(Effect.Cancel e) {
    Step step = steps.remove(e.attempt());
    if (step != null) {
      step.abort();
    }
    Connection connection = node.connection(e.request());
    if (connection != null) {
      connection.drop(e.attempt());
    }
    new CancelCall(e).begin();
  }

  private EngineRequestId id(AttemptId attempt) {
    return new EngineRequestId(new EngineRequestId.Origin(node.host, node.incarnation), attempt);
  }

  private void toUpstream(Runnable message) {
    world.platform().after(ONE_WAY, message);
  }

  /** One try to cancel. */
  private final class CancelCall {
    private final Effect.Cancel effect;
    private boolean over;

    CancelCall(Effect.Cancel effect) {
      this.effect = effect;
    }

    void begin() {
      cancels++;
      Engine engine = world.engine(effect.upstream());
      toUpstream(() -> cancelAt(engine, effect.upstream()));
      node.process.after(CANCEL_TIMEOUT, () -> settle(CancelOutcome.FAILED));
    }

    private void cancelAt(Engine engine, UpstreamName name) {
      if (!engine.answers()) {
        node.process.after(ONE_WAY, () -> settle(CancelOutcome.FAILED));
        return;
      }
      engine.cancel(id(effect.attempt()));
      world.hook(effect, Moment.AFTER_EFFECT, node, effect.request());
      node.process.after(ONE_WAY, () -> settle(CancelOutcome.ACKNOWLEDGED));
    }

    private void settle(CancelOutcome outcome) {
      if (over) {
        return;
      }
      over = true;
      cancels--;
      node.apply(new Event.CancelSettled(world.time().now(), effect.attempt(), outcome));
      world.hook(effect, Moment.AFTER_ANSWER, node, effect.request());
    }
  }

  /** One step of one attempt. */
  private final class Step implements Reply {
    private final Effect effect;
    private final AttemptId attempt;
    private final RequestId request;
    private boolean aborted;
    private boolean answered;
    private boolean cut;
    private boolean first = true;
    private long heard;
    private long due;

    Step(Effect effect, AttemptId attempt, RequestId request) {
      this.effect = effect;
      this.attempt = attempt;
      this.request = request;
      steps.put(attempt, this);
    }

    Engine.Job job() {
      Connection connection = node.connection(request);
      CallerRecord caller = world.seen().caller(request);
      String identity = connection == null ? caller.identity : connection.caller().identity;
      return new Engine.Job(id(attempt), request, identity, caller.expectedPieces, this);
    }

    void abort() {
      aborted = true;
      answered = true;
    }

    void limit(long nanos) {
      if (nanos > 0) {
        node.process.after(nanos, this::timeOut);
      }
    }

    void limitSilence(long nanos) {
      long before = heard;
      node.process.after(
          nanos,
          () -> {
            if (heard == before) {
              timeOut();
            } else {
              limitSilence(nanos);
            }
          });
    }

    private void timeOut() {
      if (!answered) {
        failNow(FailureCause.TIMED_OUT, Exposure.MAY_HAVE_RUN);
      }
    }

    @Override
    public void taken() {
      world.hook(effect, Moment.AFTER_EFFECT, node, request);
    }

    @Override
    public void piece(CallerRecord.Piece piece) {
      back(() -> pieceNow(piece));
    }

    private void pieceNow(CallerRecord.Piece piece) {
      heard++;
      Connection connection = node.connection(request);
      if (aborted || connection == null) {
        return;
      }
      if (connection.take(attempt, piece) && first) {
        first = false;
        node.apply(new Event.FirstToken(world.time().now(), attempt));
      }
    }

    @Override
    public void end(Builder event) {
      back(
          () -> {
            answered = true;
            node.apply(event.at(world.time().now()));
            world.hook(effect, Moment.AFTER_ANSWER, node, request);
          });
    }

    @Override
    public void fail(FailureCause cause, Exposure exposure) {
      failLater(cause, exposure);
      cut = true;
    }

    private void failLater(FailureCause cause, Exposure exposure) {
      back(
          () -> {
            if (!answered) {
              failNow(cause, exposure);
            }
          });
    }

    private void failNow(FailureCause cause, Exposure exposure) {
      answered = true;
      Connection connection = node.connection(request);
      int tokens = connection == null ? 0 : connection.passed();
      node.apply(new Event.AttemptFailed(world.time().now(), attempt, cause, exposure, tokens));
      world.hook(effect, Moment.AFTER_ANSWER, node, request);
    }

    private void back(Runnable delivery) {
      if (cut) {
        return;
      }
      due = Math.max(due, world.time().now() + ONE_WAY + world.answerDelay());
      node.process.at(due, delivery);
    }
  }
}
