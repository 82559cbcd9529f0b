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
 * A plain balancer to compare with: no queue, no reservation, no prediction, immediate retries.
 *
 * <p>It shares no code with the router that it is compared with. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class NaiveRouter implements Subject {
  private static final int MAX_ATTEMPTS = 5;

  private final Choice choice;
  private final SplittableRandom random;
  private final Map<RequestId, State> requests = new HashMap<>();
  private final Map<AttemptId, State> attempts = new HashMap<>();
  private final Map<UpstreamName, Integer> outstanding = new HashMap<>();
  private final Set<UpstreamName> silent = new HashSet<>();
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
    private AttemptId prefill;
    private UpstreamName prefillAt;
    private AttemptId current;
    private UpstreamName currentAt;
    private boolean claimed;

    State(Call call, Rule rule, long arrived) {
      this.call = call;
      this.rule = rule;
      this.deadline = arrived + rule.targets().deadline().toNanos();
    }
  }

  /**
   * Creates the router.
   *
   * @param choice how it chooses
   * @param seed the seed of its choices
   */
  public NaiveRouter(Choice choice, long seed) {
    this.choice = choice;
    this.random = new SplittableRandom(seed);
  }

  @Override
  public void apply(Event event, EffectSink effects) {
    sink = effects;
    now = event.at();
    switch (event) {
      case Event.OfAttempt of -> applyToAttempt(of);
      case Event.RequestArrived arrived -> arrive(arrived.call());
      case Event.CallerGone gone -> leave(requests.get(gone.request()));
      case Event.ConfigurationAccepted accepted -> configuration = accepted.configuration();
      case Event.LoadReported reported -> silent.remove(reported.upstream());
      case Event.LoadUnavailable unavailable -> silent.add(unavailable.upstream());
      case Event.Ticked ticked -> expire();
      default -> {}
    }
  }

  private void applyToAttempt(Event.OfAttempt event) {
    State state = attempts.get(event.attempt());
    if (state == null || !event.attempt().equals(state.current)) {
      return;
    }
    switch (event) {
      case Event.PrefillDone done -> prefilled(state);
      case Event.TransferDone done -> decode(state);
      case Event.FirstToken first -> {}
      case Event.DecodeDone done -> complete(state);
      case Event.PlainDone done -> answered(state);
      case Event.AttemptFailed failed -> failed(state, failed);
      case Event.CancelSettled settled -> {}
      case Event.ClaimSettled settled -> claimed(state, settled.outcome());
      case Event.RecordSettled settled -> complete(state);
    }
  }

  private void arrive(Call call) {
    Rule rule = ruleOf(call);
    if (rule == null) {
      sink.accept(new Effect.Refuse(call.id(), ErrorKind.NO_RULE, 0, "No rule."));
      return;
    }
    State state = new State(call, rule, now);
    requests.put(call.id(), state);
    sink.accept(new Effect.Wake(state.deadline));
    begin(state);
  }

  private void begin(State state) {
    switch (state.call) {
      case Call.Completion completion -> prefill(state);
      case Call.Plain plain -> {
        Optional<RunKey> key = plain.runKey();
        if (key.isPresent() && !state.claimed) {
          newAttempt(state, null);
          sink.accept(new Effect.ClaimRun(state.current, plain.id(), plain.workspace(), key.get()));
        } else {
          send(state);
        }
      }
    }
  }

  private void claimed(State state, ClaimOutcome outcome) {
    switch (outcome) {
      case CLAIMED -> {
        state.claimed = true;
        send(state);
      }
      case ALREADY_DONE -> {
        sink.accept(new Effect.Replay(state.call.id(), state.current));
        end(state);
      }
      case IN_PROGRESS -> refuse(state, ErrorKind.IN_PROGRESS);
      case UNKNOWN -> refuse(state, ErrorKind.UNKNOWN_OUTCOME);
      case KEY_REUSED -> refuse(state, ErrorKind.KEY_REUSED);
      default -> refuse(state, ErrorKind.STORE_UNAVAILABLE);
    }
  }

  private void send(State state) {
    UpstreamName service = choose(state.rule, Role.SERVICE);
    if (service == null) {
      refuse(state, ErrorKind.UPSTREAM_FAILED);
      return;
    }
    newAttempt(state, service);
    sink.accept(new Effect.SendPlain(state.current, state.call.id(), service, left(state)));
  }

  private void answered(State state) {
    if (!state.claimed) {
      complete(state);
      return;
    }
    RunKey key = state.call.runKey().orElseThrow();
    sink.accept(
        new Effect.RecordRun(
            state.current, state.call.id(), state.call.workspace(), key, RunResult.DONE));
  }

  private void prefill(State state) {
    UpstreamName engine = choose(state.rule, Role.PREFILL);
    if (engine == null) {
      refuse(state, ErrorKind.UPSTREAM_FAILED);
      return;
    }
    newAttempt(state, engine);
    state.prefill = state.current;
    state.prefillAt = engine;
    sink.accept(
        new Effect.StartPrefill(
            state.current, state.call.id(), engine, 0, state.tokens, left(state)));
  }

  private void prefilled(State state) {
    UpstreamName engine = choose(state.rule, Role.DECODE);
    if (engine == null) {
      refuse(state, ErrorKind.UPSTREAM_FAILED);
      return;
    }
    newAttempt(state, engine);
    sink.accept(
        new Effect.StartTransfer(
            state.current, state.call.id(), state.prefill, state.prefillAt, engine, left(state)));
  }

  private void decode(State state) {
    sink.accept(
        new Effect.StartDecode(
            state.current, state.call.id(), state.currentAt, 0, state.tokens, left(state)));
  }

  private void failed(State state, Event.AttemptFailed failed) {
    state.tokens = Math.max(state.tokens, failed.tokens());
    state.failures++;
    boolean mayRepeat = state.call instanceof Call.Completion || state.call.runKey().isEmpty();
    boolean repeat = mayRepeat || failed.exposure() != Exposure.MAY_HAVE_RUN;
    if (!repeat || state.failures >= MAX_ATTEMPTS || now >= state.deadline) {
      refuse(state, ErrorKind.UPSTREAM_FAILED);
    } else if (failed.cause() == FailureCause.NO_SLOT) {
      prefilled(state);
    } else {
      begin(state);
    }
  }

  private void leave(State state) {
    if (state != null) {
      cancel(state);
      sink.accept(new Effect.Forget(state.call.id()));
      end(state);
    }
  }

  private void expire() {
    List<State> late = new ArrayList<>();
    for (State state : requests.values()) {
      if (now >= state.deadline) {
        late.add(state);
      }
    }
    for (State state : late) {
      cancel(state);
      refuse(state, ErrorKind.DEADLINE_EXCEEDED);
    }
  }

  private void cancel(State state) {
    if (state.currentAt != null) {
      sink.accept(new Effect.Cancel(state.current, state.call.id(), state.currentAt));
    }
    if (state.prefill != null && !state.prefill.equals(state.current)) {
      sink.accept(new Effect.Cancel(state.prefill, state.call.id(), state.prefillAt));
    }
  }

  private void refuse(State state, ErrorKind kind) {
    sink.accept(new Effect.Refuse(state.call.id(), kind, 0, kind.title()));
    end(state);
  }

  private void complete(State state) {
    sink.accept(new Effect.Complete(state.call.id(), state.current));
    end(state);
  }

  private void end(State state) {
    requests.remove(state.call.id());
    dropAttempt(state);
  }

  private void newAttempt(State state, UpstreamName upstream) {
    dropAttempt(state);
    state.current = new AttemptId(++lastAttempt);
    state.currentAt = upstream;
    attempts.put(state.current, state);
    if (upstream != null) {
      outstanding.merge(upstream, 1, Integer::sum);
    }
  }

  private void dropAttempt(State state) {
    if (state.current != null) {
      attempts.remove(state.current);
    }
    if (state.currentAt != null) {
      outstanding.merge(state.currentAt, -1, Integer::sum);
    }
  }

  private UpstreamName choose(Rule rule, Role role) {
    List<UpstreamName> best = new ArrayList<>();
    int least = Integer.MAX_VALUE;
    for (Pool pool : configuration.pools().values()) {
      if (pool.role() != role || !rule.pools().matches(pool.labels())) {
        continue;
      }
      for (Upstream upstream : configuration.upstreams().values()) {
        if (silent.contains(upstream.name()) || !pool.upstreams().matches(upstream.labels())) {
          continue;
        }
        int load = choice == Choice.RANDOM ? 0 : outstanding.getOrDefault(upstream.name(), 0);
        if (load < least) {
          best.clear();
          least = load;
        }
        if (load == least) {
          best.add(upstream.name());
        }
      }
    }
    return best.isEmpty() ? null : best.get(random.nextInt(best.size()));
  }

  private Rule ruleOf(Call call) {
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

  private long left(State state) {
    return Math.max(1, state.deadline - now);
  }
}
