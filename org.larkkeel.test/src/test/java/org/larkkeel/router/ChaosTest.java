/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router;

import static org.larkkeel.router.Fixtures.completion;
import static org.larkkeel.router.Fixtures.configuration;
import static org.larkkeel.router.Fixtures.engine;
import static org.larkkeel.router.Fixtures.key;
import static org.larkkeel.router.Fixtures.plain;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.larkkeel.config.Upstream;
import org.larkkeel.config.Urgency;
import org.larkkeel.effect.Effect;
import org.larkkeel.errors.Execution;
import org.larkkeel.event.CancelOutcome;
import org.larkkeel.event.ClaimOutcome;
import org.larkkeel.event.Event;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;
import org.larkkeel.event.LoadReport;
import org.larkkeel.event.RecordOutcome;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Random histories in which each effect can end in any way, and each event can arrive twice or out
 * of order. Guards against a request without an end, a second run of an at-most-once call, an error
 * that says a request did not run although it may have, and work left at upstreams.
 */
public class ChaosTest {
  private static final int SEEDS = 60;
  private static final int STEPS = 400;
  private static final List<Exposure> EXPOSURES = List.of(Exposure.values());

  /** The invariants that must hold in every history. */
  public static class InvariantsTest {
    /** The names of all sets of policies. */
    @DataProvider
    public Object[][] policies() {
      return RouterSettings.NAMES.stream().map(n -> new Object[] {n}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "policies")
    public void holdInEveryHistory(String policy) {
      for (long seed = 0; seed < SEEDS; seed++) {
        new History(RouterSettings.named(policy).build(), seed).run();
      }
    }
  }

  /** One random history. */
  private static final class History {
    private final SplittableRandom random;
    private final Script script;
    private final List<Effect> openEffects = new ArrayList<>();
    private final Map<AttemptId, RequestId> heldAttempts = new HashMap<>();
    private final Set<RequestId> mayHaveRun = new HashSet<>();
    private final Map<RequestId, Integer> runsOfAtMostOnce = new HashMap<>();
    private final Set<RequestId> atMostOnce = new HashSet<>();
    private final Set<RequestId> claimed = new HashSet<>();
    private final List<Event> delivered = new ArrayList<>();
    private final String name;
    private long requests;
    private long revision = 1;
    private long incarnation = 1;

    History(RouterSettings settings, long seed) {
      this.random = new SplittableRandom(seed);
      this.script = new Script(settings);
      this.name = settings.policyName() + " seed " + seed;
      script.configure(configuration(revision, Urgency.PATIENT, upstreams(6)));
    }

    void run() {
      for (int i = 0; i < STEPS; i++) {
        step();
      }
      for (int i = 0; i < 20_000 && isUnfinished(); i++) {
        if (openEffects.isEmpty()) {
          pass(500);
        } else {
          answer(true);
        }
      }
      assertEquals(script.lastEffects.size(), requests, name + ": requests without a last effect");
      assertEquals(heldAttempts.keySet(), Set.of(), name + ": attempts still held by engines");
      assertEquals(script.router.status().cancels(), 0, name + ": cancels not acknowledged");
      script.assertIdle();
    }

    private boolean isUnfinished() {
      return !openEffects.isEmpty()
          || script.lastEffects.size() < requests
          || script.router.status().cancels() > 0;
    }

    private static List<Upstream> upstreams(int count) {
      List<Upstream> all = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        String role = List.of("prefill", "decode", "service").get(i % 3);
        all.add(engine(role + i, role, 2));
      }
      return all;
    }

    private void step() {
      switch (random.nextInt(12)) {
        case 0, 1, 2 -> arrive();
        case 3 -> callerLeaves();
        case 4 -> pass(random.nextInt(200));
        case 5 -> report();
        case 6 -> reconfigure();
        case 7 -> repeat();
        default -> answer(false);
      }
    }

    private void arrive() {
      long id = ++requests;
      RequestId request = new RequestId(id);
      switch (random.nextInt(4)) {
        case 0 -> apply(new Event.RequestArrived(script.now, plain(id, "/read", Optional.empty())));
        case 1 -> {
          atMostOnce.add(request);
          apply(new Event.RequestArrived(script.now, plain(id, "/order", key("k" + id))));
        }
        case 2 -> {
          atMostOnce.add(request);
          apply(new Event.RequestArrived(script.now, plain(id, "/order", Optional.empty())));
        }
        default -> apply(new Event.RequestArrived(script.now, completion(id)));
      }
    }

    private void callerLeaves() {
      if (requests > 0) {
        apply(new Event.CallerGone(script.now, new RequestId(1 + random.nextLong(requests))));
      }
    }

    private void pass(long millis) {
      for (long i = 0; i < millis; i += 5) {
        script.now += 5 * Script.MILLI;
        apply(new Event.Ticked(script.now));
      }
    }

    private void report() {
      UpstreamName name = upstreams(6).get(random.nextInt(6)).name();
      if (random.nextInt(4) == 0) {
        apply(new Event.LoadUnavailable(script.now, name));
        return;
      }
      LoadReport report =
          new LoadReport(
              new Incarnation(incarnation),
              script.now,
              2,
              random.nextInt(3),
              0,
              10,
              10,
              ImmutableSet.of());
      apply(new Event.LoadReported(script.now, name, report));
    }

    private void reconfigure() {
      if (random.nextInt(8) == 0) {
        revision++;
        int count = random.nextInt(2) == 0 ? 6 : 5;
        apply(
            new Event.ConfigurationAccepted(
                script.now, configuration(revision, Urgency.PATIENT, upstreams(count))));
      }
    }

    /** Delivers an earlier event again. */
    private void repeat() {
      if (!delivered.isEmpty()) {
        apply(delivered.get(random.nextInt(delivered.size())));
      }
    }

    private void apply(Event event) {
      script.apply(event);
      script.effects.forEach(this::checkEffect);
    }

    private void checkEffect(Effect effect) {
      switch (effect) {
        case Effect.Refuse refuse -> {
          boolean saysNotRun = refuse.kind().execution() == Execution.NOT_RUN;
          assertFalse(
              saysNotRun && mayHaveRun.contains(refuse.request()),
              name + ": " + refuse + " although it may have run");
        }
        case Effect.SendPlain send -> {
          if (atMostOnce.contains(send.request())) {
            assertEquals(
                runsOfAtMostOnce.getOrDefault(send.request(), 0), 0, name + ": second run");
          }
          openEffects.add(effect);
        }
        case Effect.OfAttempt other -> openEffects.add(effect);
        default -> {}
      }
    }

    private void answer(boolean wellBehaved) {
      if (openEffects.isEmpty()) {
        return;
      }
      Effect effect = openEffects.remove(random.nextInt(openEffects.size()));
      boolean fails = !wellBehaved && random.nextInt(3) == 0;
      switch (effect) {
        case Effect.StartPrefill start -> work(start, fails);
        case Effect.StartTransfer start -> work(start, fails);
        case Effect.StartDecode start -> work(start, fails);
        case Effect.SendPlain send -> work(send, fails);
        case Effect.Cancel cancel -> cancel(cancel, fails);
        case Effect.ClaimRun claim -> claim(claim, fails);
        case Effect.RecordRun run ->
            deliver(
                new Event.RecordSettled(
                    script.now,
                    run.attempt(),
                    fails ? RecordOutcome.FAILED : RecordOutcome.RECORDED));
        default -> throw new IllegalStateException("effect without an answer: " + effect);
      }
    }

    private void work(Effect.OfAttempt effect, boolean fails) {
      if (fails) {
        fail(effect);
        return;
      }
      mayHaveRun.add(effect.request());
      AttemptId attempt = effect.attempt();
      switch (effect) {
        case Effect.StartPrefill start -> {
          heldAttempts.put(attempt, effect.request());
          deliver(new Event.PrefillDone(script.now, attempt, 1_000_000, 0));
        }
        case Effect.StartTransfer start -> {
          heldAttempts.remove(start.prefill());
          heldAttempts.put(attempt, effect.request());
          deliver(new Event.TransferDone(script.now, attempt));
        }
        case Effect.StartDecode start -> {
          deliver(new Event.FirstToken(script.now, attempt));
          heldAttempts.remove(attempt);
          deliver(new Event.DecodeDone(script.now, attempt, start.resumeFrom() + 10));
        }
        default -> {
          runsOfAtMostOnce.merge(effect.request(), 1, Integer::sum);
          deliver(new Event.PlainDone(script.now, attempt));
        }
      }
    }

    private void fail(Effect.OfAttempt effect) {
      Exposure exposure = EXPOSURES.get(random.nextInt(EXPOSURES.size()));
      FailureCause[] causes =
          switch (exposure) {
            case NOT_SENT -> new FailureCause[] {FailureCause.CONNECT_FAILED};
            case REFUSED ->
                new FailureCause[] {FailureCause.NO_SLOT, FailureCause.BUSY, FailureCause.DRAINING};
            case MAY_HAVE_RUN ->
                new FailureCause[] {
                  FailureCause.CONNECTION_LOST, FailureCause.TIMED_OUT, FailureCause.BAD_ANSWER
                };
          };
      if (exposure == Exposure.MAY_HAVE_RUN) {
        mayHaveRun.add(effect.request());
        heldAttempts.put(effect.attempt(), effect.request());
        if (effect instanceof Effect.SendPlain) {
          runsOfAtMostOnce.merge(effect.request(), 1, Integer::sum);
        }
      }
      FailureCause cause = causes[random.nextInt(causes.length)];
      deliver(new Event.AttemptFailed(script.now, effect.attempt(), cause, exposure, 0));
    }

    private void cancel(Effect.Cancel cancel, boolean fails) {
      if (!fails) {
        heldAttempts.remove(cancel.attempt());
      }
      deliver(
          new Event.CancelSettled(
              script.now,
              cancel.attempt(),
              fails ? CancelOutcome.FAILED : CancelOutcome.ACKNOWLEDGED));
    }

    private void claim(Effect.ClaimRun claim, boolean fails) {
      ClaimOutcome outcome = fails ? ClaimOutcome.UNAVAILABLE : ClaimOutcome.CLAIMED;
      assertTrue(fails || claimed.add(claim.request()), name + ": claimed twice");
      deliver(new Event.ClaimSettled(script.now, claim.attempt(), outcome));
    }

    private void deliver(Event event) {
      // Each try to cancel is answered exactly once, so its answer must not be repeated for the
      // next.
      if (!(event instanceof Event.CancelSettled)) {
        delivered.add(event);
      }
      apply(event);
    }
  }
}
