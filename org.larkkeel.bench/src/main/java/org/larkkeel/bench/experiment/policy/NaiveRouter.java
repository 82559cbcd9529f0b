/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.larkkeel.call.Call;
import org.larkkeel.call.RunKey;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.Pool;
import org.larkkeel.config.Role;
import org.larkkeel.config.Rule;
import org.larkkeel.config.Upstream;
import org.larkkeel.effect.Effect;
import org.larkkeel.effect.EffectSink;
import org.larkkeel.effect.RunResult;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.ClaimOutcome;
import org.larkkeel.event.Event;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;

/**
 * A simple load balancer as a baseline, with neither queue, reservation nor prediction, and with
 * immediate retries.
 *
 * <p>It shares no code with the router under test. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class NaiveRouter implements RoutingPolicy {
  private static final int MAX_ATTEMPTS = 5;

  private final SelectionStrategy strategy;
  private final SplittableRandom random;
  private final Map<RequestId, State> requests = new HashMap<>();
  private final Map<AttemptId, State> attempts = new HashMap<>();
  private final Map<UpstreamName, Integer> outstanding = new HashMap<>();
  private final Set<UpstreamName> unavailableUpstreams = new HashSet<>();
  private Configuration configuration = Configuration.EMPTY;
  private EffectSink sink;
  private long now;
  private long lastAttempt;

  private static final class State {
    private final Call call;
    private final Rule rule;
    private final long deadline;
    private int failures;
    private int tokens;
    private AttemptId prefillAttempt;
    private UpstreamName prefillUpstream;
    private AttemptId attempt;
    private UpstreamName upstream;
    private boolean claimed;

    State(Call call, Rule rule, long arrivedAt) {
      this.call = call;
      this.rule = rule;
      this.deadline = arrivedAt + rule.targets().deadline().toNanos();
    }
  }

  /**
   * Creates the router.
   *
   * @param strategy the strategy for selecting an upstream
   * @param seed the seed of random choices
   */
  public NaiveRouter(SelectionStrategy strategy, long seed) {
    this.strategy = strategy;
    this.random = new SplittableRandom(seed);
  }

  @Override
  public void apply(Event event, EffectSink effects) {
    sink = effects;
    now = event.at();
    switch (event) {
      case Event.OfAttempt of -> applyToAttempt(of);
      case Event.RequestArrived arrived -> onRequest(arrived.call());
      case Event.CallerGone gone -> onCallerGone(requests.get(gone.request()));
      case Event.ConfigurationAccepted accepted -> configuration = accepted.configuration();
      case Event.LoadReported reported -> unavailableUpstreams.remove(reported.upstream());
      case Event.LoadUnavailable unavailable -> unavailableUpstreams.add(unavailable.upstream());
      case Event.Ticked ticked -> expire();
      default -> {}
    }
  }

  private void applyToAttempt(Event.OfAttempt event) {
    State state = attempts.get(event.attempt());
    if (state == null || !event.attempt().equals(state.attempt)) {
      return;
    }
    switch (event) {
      case Event.PrefillDone done -> startTransfer(state);
      case Event.TransferDone done -> startDecode(state);
      case Event.FirstToken first -> {}
      case Event.DecodeDone done -> complete(state);
      case Event.PlainDone done -> onAnswer(state);
      case Event.AttemptFailed failed -> onFailure(state, failed);
      case Event.CancelSettled settled -> {}
      case Event.ClaimSettled settled -> onClaim(state, settled.outcome());
      case Event.RecordSettled settled -> complete(state);
    }
  }

  private void onRequest(Call call) {
    Rule rule = findRule(call);
    if (rule == null) {
      sink.accept(new Effect.Refuse(call.id(), ErrorKind.NO_RULE, 0, "No rule."));
      return;
    }
    State state = new State(call, rule, now);
    requests.put(call.id(), state);
    sink.accept(new Effect.Wake(state.deadline));
    start(state);
  }

  private void start(State state) {
    switch (state.call) {
      case Call.Completion completion -> startPrefill(state);
      case Call.Plain plain -> {
        Optional<RunKey> key = plain.runKey();
        if (key.isPresent() && !state.claimed) {
          newAttempt(state, null);
          sink.accept(new Effect.ClaimRun(state.attempt, plain.id(), plain.workspace(), key.get()));
        } else {
          sendPlain(state);
        }
      }
    }
  }

  private void onClaim(State state, ClaimOutcome outcome) {
    switch (outcome) {
      case CLAIMED -> {
        state.claimed = true;
        sendPlain(state);
      }
      case ALREADY_DONE -> {
        sink.accept(new Effect.Replay(state.call.id(), state.attempt));
        end(state);
      }
      case IN_PROGRESS -> refuse(state, ErrorKind.IN_PROGRESS);
      case UNKNOWN -> refuse(state, ErrorKind.UNKNOWN_OUTCOME);
      case KEY_REUSED -> refuse(state, ErrorKind.KEY_REUSED);
      default -> refuse(state, ErrorKind.STORE_UNAVAILABLE);
    }
  }

  private void sendPlain(State state) {
    UpstreamName service = selectUpstream(state.rule, Role.SERVICE);
    if (service == null) {
      refuse(state, ErrorKind.UPSTREAM_FAILED);
      return;
    }
    newAttempt(state, service);
    sink.accept(
        new Effect.SendPlain(state.attempt, state.call.id(), service, remainingNanos(state)));
  }

  private void onAnswer(State state) {
    if (!state.claimed) {
      complete(state);
      return;
    }
    RunKey key = state.call.runKey().orElseThrow();
    sink.accept(
        new Effect.RecordRun(
            state.attempt, state.call.id(), state.call.workspace(), key, RunResult.DONE));
  }

  private void startPrefill(State state) {
    UpstreamName engine = selectUpstream(state.rule, Role.PREFILL);
    if (engine == null) {
      refuse(state, ErrorKind.UPSTREAM_FAILED);
      return;
    }
    newAttempt(state, engine);
    state.prefillAttempt = state.attempt;
    state.prefillUpstream = engine;
    sink.accept(
        new Effect.StartPrefill(
            state.attempt, state.call.id(), engine, 0, state.tokens, remainingNanos(state)));
  }

  private void startTransfer(State state) {
    UpstreamName engine = selectUpstream(state.rule, Role.DECODE);
    if (engine == null) {
      refuse(state, ErrorKind.UPSTREAM_FAILED);
      return;
    }
    newAttempt(state, engine);
    sink.accept(
        new Effect.StartTransfer(
            state.attempt,
            state.call.id(),
            state.prefillAttempt,
            state.prefillUpstream,
            engine,
            remainingNanos(state)));
  }

  private void startDecode(State state) {
    sink.accept(
        new Effect.StartDecode(
            state.attempt,
            state.call.id(),
            state.upstream,
            0,
            state.tokens,
            remainingNanos(state)));
  }

  private void onFailure(State state, Event.AttemptFailed failed) {
    state.tokens = Math.max(state.tokens, failed.tokens());
    state.failures++;
    boolean isRepeatable = state.call instanceof Call.Completion || state.call.runKey().isEmpty();
    boolean mayRetry = isRepeatable || failed.exposure() != Exposure.MAY_HAVE_RUN;
    if (!mayRetry || state.failures >= MAX_ATTEMPTS || now >= state.deadline) {
      refuse(state, ErrorKind.UPSTREAM_FAILED);
    } else if (failed.cause() == FailureCause.NO_SLOT) {
      startTransfer(state);
    } else {
      start(state);
    }
  }

  private void onCallerGone(State state) {
    if (state != null) {
      cancel(state);
      sink.accept(new Effect.Forget(state.call.id()));
      end(state);
    }
  }

  private void expire() {
    List<State> expired = new ArrayList<>();
    for (State state : requests.values()) {
      if (now >= state.deadline) {
        expired.add(state);
      }
    }
    for (State state : expired) {
      cancel(state);
      refuse(state, ErrorKind.DEADLINE_EXCEEDED);
    }
  }

  private void cancel(State state) {
    if (state.upstream != null) {
      sink.accept(new Effect.Cancel(state.attempt, state.call.id(), state.upstream));
    }
    if (state.prefillAttempt != null && !state.prefillAttempt.equals(state.attempt)) {
      sink.accept(new Effect.Cancel(state.prefillAttempt, state.call.id(), state.prefillUpstream));
    }
  }

  private void refuse(State state, ErrorKind kind) {
    sink.accept(new Effect.Refuse(state.call.id(), kind, 0, kind.title()));
    end(state);
  }

  private void complete(State state) {
    sink.accept(new Effect.Complete(state.call.id(), state.attempt));
    end(state);
  }

  private void end(State state) {
    requests.remove(state.call.id());
    dropAttempt(state);
  }

  private void newAttempt(State state, UpstreamName upstream) {
    dropAttempt(state);
    state.attempt = new AttemptId(++lastAttempt);
    state.upstream = upstream;
    attempts.put(state.attempt, state);
    if (upstream != null) {
      outstanding.merge(upstream, 1, Integer::sum);
    }
  }

  private void dropAttempt(State state) {
    if (state.attempt != null) {
      attempts.remove(state.attempt);
    }
    if (state.upstream != null) {
      outstanding.merge(state.upstream, -1, Integer::sum);
    }
  }

  private UpstreamName selectUpstream(Rule rule, Role role) {
    List<UpstreamName> best = new ArrayList<>();
    int minLoad = Integer.MAX_VALUE;
    for (Pool pool : configuration.pools().values()) {
      if (pool.role() != role || !rule.pools().matches(pool.labels())) {
        continue;
      }
      for (Upstream upstream : configuration.upstreams().values()) {
        if (unavailableUpstreams.contains(upstream.name())
            || !pool.upstreams().matches(upstream.labels())) {
          continue;
        }
        int load =
            strategy == SelectionStrategy.RANDOM ? 0 : outstanding.getOrDefault(upstream.name(), 0);
        if (load < minLoad) {
          best.clear();
          minLoad = load;
        }
        if (load == minLoad) {
          best.add(upstream.name());
        }
      }
    }
    return best.isEmpty() ? null : best.get(random.nextInt(best.size()));
  }

  private Rule findRule(Call call) {
    for (Rule rule : configuration.rules().values()) {
      boolean matches =
          switch (call) {
            case Call.Completion completion ->
                rule.match().model().equals(Optional.of(completion.model()));
            case Call.Plain plain ->
                rule.match().pathPrefix().map(plain.path()::startsWith).orElse(false);
          };
      if (matches) {
        return rule;
      }
    }
    return null;
  }

  private long remainingNanos(State state) {
    return Math.max(1, state.deadline - now);
  }
}
