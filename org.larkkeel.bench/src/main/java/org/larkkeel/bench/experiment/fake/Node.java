/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fake;

import java.util.HashMap;
import java.util.Map;
import org.larkkeel.bench.experiment.fake.Ledger.Violation;
import org.larkkeel.bench.experiment.fake.Timeline.Timer;
import org.larkkeel.bench.experiment.policy.RoutingPolicy;
import org.larkkeel.bench.experiment.scenario.Arrival;
import org.larkkeel.bench.experiment.scenario.Scenario;
import org.larkkeel.effect.Effect;
import org.larkkeel.event.CancelOutcome;
import org.larkkeel.event.Event;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;

/**
 * A node, which passes events to its router and executes the effects against the fakes.
 *
 * <p>Invariant: each step of an attempt ends with at most one event. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
final class Node {
  private static final long CANCEL_TIMEOUT_NANOS = Scenario.NANOS_PER_SECOND;

  private final int number;
  private final String dataCentre;
  private final RoutingPolicy router;
  private final Cluster cluster;
  private final Timeline time;
  private final Ledger ledger;
  private final Map<RequestId, OpenRequest> requests = new HashMap<>();
  private final Map<AttemptId, Step> steps = new HashMap<>();

  Node(int number, String dataCentre, RoutingPolicy router, Cluster cluster) {
    this.number = number;
    this.dataCentre = dataCentre;
    this.router = router;
    this.cluster = cluster;
    this.time = cluster.time();
    this.ledger = cluster.ledger();
  }

  private static final class OpenRequest {
    private final Arrival arrival;
    private int forwardedTokens;

    OpenRequest(Arrival arrival) {
      this.arrival = arrival;
    }
  }

  /** One step of an attempt, from its effect to its last event. */
  private final class Step implements Reply {
    private final AttemptId attempt;
    private final OpenRequest request;
    private final Upstream upstream;
    private boolean isClosed;
    private boolean isResultInTransit;
    private Timer timeout;

    Step(AttemptId attempt, OpenRequest request, Upstream upstream) {
      this.attempt = attempt;
      this.request = request;
      this.upstream = upstream;
      steps.put(attempt, this);
    }

    @Override
    public void progress(EventBuilder event) {
      afterLatency(() -> deliver(event));
    }

    @Override
    public void end(EventBuilder event) {
      isResultInTransit = true;
      afterLatency(
          () -> {
            if (close()) {
              deliverNow(event.at(time.now()));
            }
          });
    }

    @Override
    public void fail(FailureCause cause, Exposure exposure, int tokens) {
      isResultInTransit = true;
      afterLatency(() -> failNow(cause, exposure, tokens));
    }

    private void deliver(EventBuilder event) {
      if (!isClosed) {
        deliverNow(event.at(time.now()));
      }
    }

    private void deliverNow(Event event) {
      switch (event) {
        case Event.FirstToken first -> {
          request.forwardedTokens = Math.max(request.forwardedTokens, 1);
          ledger.recordFirstToken(request.arrival, first.at());
        }
        case Event.DecodeDone done -> request.forwardedTokens = done.tokens();
        default -> {}
      }
      apply(event);
    }

    private void failNow(FailureCause cause, Exposure exposure, int tokens) {
      if (close()) {
        request.forwardedTokens = Math.max(request.forwardedTokens, tokens);
        int tokensSoFar = request.forwardedTokens;
        apply(new Event.AttemptFailed(time.now(), attempt, cause, exposure, tokensSoFar));
      }
    }

    private void startTimeout(long timeoutNanos) {
      if (timeoutNanos > 0) {
        Runnable expire =
            () -> failNow(FailureCause.TIMED_OUT, Exposure.MAY_HAVE_RUN, request.forwardedTokens);
        timeout = time.after(timeoutNanos, expire);
      }
    }

    /** Fails the step if no token was generated within a timeout; checks once per timeout. */
    private void startIdleTimeout(DecodeEngine engine, long timeoutNanos, int seen) {
      if (timeoutNanos <= 0) {
        return;
      }
      timeout =
          time.after(
              timeoutNanos,
              () -> {
                int tokens = engine.tokens(new WorkId(number, attempt));
                if (isResultInTransit || tokens > seen) {
                  startIdleTimeout(engine, timeoutNanos, tokens);
                } else {
                  failNow(FailureCause.TIMED_OUT, Exposure.MAY_HAVE_RUN, tokens);
                }
              });
    }

    private boolean close() {
      steps.remove(attempt, this);
      Timeline.cancel(timeout);
      boolean wasOpen = !isClosed;
      isClosed = true;
      return wasOpen;
    }

    private void afterLatency(Runnable delivery) {
      time.after(latency(upstream), delivery);
    }
  }

  void apply(Event event) {
    router.apply(event, this::execute);
  }

  void receiveRequest(Arrival arrival) {
    ledger.recordArrival(arrival);
    requests.put(arrival.id(), new OpenRequest(arrival));
    apply(new Event.RequestArrived(time.now(), arrival.call()));
    if (arrival.leavesAt() < Long.MAX_VALUE) {
      time.at(arrival.leavesAt(), () -> onCallerLeft(arrival));
    }
  }

  private void onCallerLeft(Arrival arrival) {
    if (requests.containsKey(arrival.id())) {
      apply(new Event.CallerGone(time.now(), arrival.id()));
    }
  }

  private void execute(Effect effect) {
    switch (effect) {
      case Effect.StartPrefill start -> prefill(start);
      case Effect.StartTransfer start -> transfer(start);
      case Effect.StartDecode start -> decode(start);
      case Effect.SendPlain send -> plain(send);
      case Effect.Cancel cancel -> cancel(cancel);
      case Effect.ClaimRun claim -> claim(claim);
      case Effect.RecordRun run -> record(run);
      case Effect.Complete done -> complete(done.request());
      case Effect.Replay replay -> complete(replay.request());
      case Effect.Refuse refuse -> {
        OpenRequest open = removeRequest(refuse.request());
        if (open != null) {
          ledger.recordRefusal(open.arrival, time.now(), refuse.kind());
        }
      }
      case Effect.Forget forget -> {
        OpenRequest open = removeRequest(forget.request());
        if (open != null) {
          ledger.recordDisconnect(open.arrival, time.now());
        }
      }
      case Effect.WantSlots want ->
          cluster.grants().request(number, want.upstream(), want.wanted());
      case Effect.WantLimit want -> {}
      case Effect.Wake wake -> time.at(wake.at(), () -> apply(new Event.Ticked(time.now())));
      case Effect.Report report -> {}
    }
  }

  private void prefill(Effect.StartPrefill start) {
    OpenRequest open = requireOpen(start.request());
    PrefillEngine engine = (PrefillEngine) cluster.upstream(start.upstream());
    Step step = new Step(start.attempt(), open, engine);
    step.startTimeout(start.timeoutNanos());
    Work work = work(step, start.resumeFrom(), start.priority());
    send(engine, () -> engine.submit(work));
  }

  private void transfer(Effect.StartTransfer start) {
    OpenRequest open = requireOpen(start.request());
    DecodeEngine engine = (DecodeEngine) cluster.upstream(start.to());
    PrefillEngine source = (PrefillEngine) cluster.upstream(start.from());
    Step step = new Step(start.attempt(), open, engine);
    step.startTimeout(start.timeoutNanos());
    Work work = work(step, open.forwardedTokens, 0);
    WorkId prefill = new WorkId(number, start.prefill());
    send(engine, () -> engine.startImport(work, prefill, source));
  }

  private void decode(Effect.StartDecode start) {
    OpenRequest open = requireOpen(start.request());
    if (start.resumeFrom() > open.forwardedTokens) {
      ledger.addViolation(Violation.ANSWER_CUT);
    }
    DecodeEngine engine = (DecodeEngine) cluster.upstream(start.upstream());
    Step step = new Step(start.attempt(), open, engine);
    step.startIdleTimeout(engine, start.timeoutNanos(), start.resumeFrom());
    Work work = work(step, start.resumeFrom(), start.priority());
    send(engine, () -> engine.startDecode(work));
  }

  private void plain(Effect.SendPlain send) {
    Service service = (Service) cluster.upstream(send.upstream());
    Step step = new Step(send.attempt(), requireOpen(send.request()), service);
    step.startTimeout(send.timeoutNanos());
    Work work = work(step, 0, 0);
    send(service, () -> service.submit(work));
  }

  private void cancel(Effect.Cancel cancel) {
    Upstream upstream = cluster.upstream(cancel.upstream());
    WorkId id = new WorkId(number, cancel.attempt());
    Step step = steps.remove(cancel.attempt());
    if (step != null && step.close() && upstream instanceof DecodeEngine engine) {
      step.request.forwardedTokens = Math.max(step.request.forwardedTokens, engine.tokens(id));
    }
    long there = latency(upstream) + cluster.platform().cancelDelay();
    time.after(there, () -> cancelAt(upstream, id));
  }

  private void cancelAt(Upstream upstream, WorkId id) {
    if (!upstream.isAlive()) {
      time.after(latency(upstream), () -> cancelled(id, CancelOutcome.FAILED));
    } else if (upstream.frozen()) {
      time.after(CANCEL_TIMEOUT_NANOS, () -> cancelled(id, CancelOutcome.FAILED));
    } else {
      upstream.cancel(id);
      time.after(latency(upstream), () -> cancelled(id, CancelOutcome.ACKNOWLEDGED));
    }
  }

  private void cancelled(WorkId id, CancelOutcome outcome) {
    apply(new Event.CancelSettled(time.now(), id.attempt(), outcome));
  }

  private void claim(Effect.ClaimRun claim) {
    time.after(
        cluster.platform().storeDelay(),
        () ->
            apply(
                new Event.ClaimSettled(
                    time.now(),
                    claim.attempt(),
                    cluster.store().claim(claim.workspace(), claim.key()))));
  }

  private void record(Effect.RecordRun run) {
    time.after(
        cluster.platform().storeDelay(),
        () ->
            apply(
                new Event.RecordSettled(
                    time.now(),
                    run.attempt(),
                    cluster.store().record(run.workspace(), run.key(), run.result()))));
  }

  private void complete(RequestId request) {
    OpenRequest open = removeRequest(request);
    if (open != null) {
      ledger.recordAnswer(open.arrival, time.now(), open.forwardedTokens);
    }
  }

  private OpenRequest removeRequest(RequestId request) {
    OpenRequest open = requests.remove(request);
    if (open == null) {
      ledger.addViolation(Violation.ANSWERED_TWICE);
    }
    return open;
  }

  private OpenRequest requireOpen(RequestId request) {
    OpenRequest open = requests.get(request);
    if (open == null) {
      throw new IllegalStateException("the router issued an effect for ended request " + request);
    }
    return open;
  }

  private Work work(Step step, int resumeFrom, int priority) {
    WorkId id = new WorkId(number, step.attempt);
    return new Work(id, step.request.arrival, resumeFrom, priority, step);
  }

  private void send(Upstream upstream, Runnable message) {
    time.after(latency(upstream), () -> upstream.receive(message));
  }

  private long latency(Upstream upstream) {
    boolean isSameDataCentre = upstream.member.dataCentre().equals(dataCentre);
    return isSameDataCentre
        ? cluster.platform().withinDataCentre()
        : cluster.platform().betweenDataCentres();
  }
}
