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

/** Random histories in which every effect may end in any way, twice or out of order. */
public class ChaosTest {
  private static final int SEEDS = 60;
  private static final int STEPS = 400;
  private static final List<Exposure> EXPOSURES = List.of(Exposure.values());

  /** The promises that hold in every history. */
  public static class PromisesTest {
    /** Every policy known by name. */
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
    private final List<Effect> open = new ArrayList<>();
    private final Map<AttemptId, RequestId> heldUpstream = new HashMap<>();
    private final Set<RequestId> mayHaveRun = new HashSet<>();
    private final Map<RequestId, Integer> runsOfOnce = new HashMap<>();
    private final Set<RequestId> once = new HashSet<>();
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
        if (open.isEmpty()) {
          pass(500);
        } else {
          answer(true);
        }
      }
      assertEquals(script.endings.size(), requests, name + ": requests without an end");
      assertEquals(heldUpstream.keySet(), Set.of(), name + ": held by engines for nobody");
      assertEquals(script.router.status().cancels(), 0, name + ": cancels left");
      script.assertIdle();
    }

    private boolean isUnfinished() {
      return !open.isEmpty()
          || script.endings.size() < requests
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
        case 3 -> leave();
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
          once.add(request);
          apply(new Event.RequestArrived(script.now, plain(id, "/order", key("k" + id))));
        }
        case 2 -> {
          once.add(request);
          apply(new Event.RequestArrived(script.now, plain(id, "/order", Optional.empty())));
        }
        default -> apply(new Event.RequestArrived(script.now, completion(id)));
      }
    }

    private void leave() {
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

    /** Delivers an event of the past again. */
    private void repeat() {
      if (!delivered.isEmpty()) {
        apply(delivered.get(random.nextInt(delivered.size())));
      }
    }

    private void apply(Event event) {
      script.apply(event);
      script.effects.forEach(this::look);
    }

    private void look(Effect effect) {
      switch (effect) {
        case Effect.Refuse refuse -> {
          boolean toldNotRun = refuse.kind().execution() == Execution.NOT_RUN;
          assertFalse(
              toldNotRun && mayHaveRun.contains(refuse.request()),
              name + ": " + refuse + " though it may have run");
        }
        case Effect.SendPlain send -> {
          if (once.contains(send.request())) {
            assertEquals(runsOfOnce.getOrDefault(send.request(), 0), 0, name + ": second run");
          }
          open.add(effect);
        }
        case Effect.OfAttempt other -> open.add(effect);
        default -> {}
      }
    }

    private void answer(boolean wellBehaved) {
      if (open.isEmpty()) {
        return;
      }
      Effect effect = open.remove(random.nextInt(open.size()));
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
        default -> throw new IllegalStateException("not answered: " + effect);
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
          heldUpstream.put(attempt, effect.request());
          deliver(new Event.PrefillDone(script.now, attempt, 1_000_000, 0));
        }
        case Effect.StartTransfer start -> {
          heldUpstream.remove(start.prefill());
          heldUpstream.put(attempt, effect.request());
          deliver(new Event.TransferDone(script.now, attempt));
        }
        case Effect.StartDecode start -> {
          deliver(new Event.FirstToken(script.now, attempt));
          heldUpstream.remove(attempt);
          deliver(new Event.DecodeDone(script.now, attempt, start.resumeFrom() + 10));
        }
        default -> {
          runsOfOnce.merge(effect.request(), 1, Integer::sum);
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
        heldUpstream.put(effect.attempt(), effect.request());
        if (effect instanceof Effect.SendPlain) {
          runsOfOnce.merge(effect.request(), 1, Integer::sum);
        }
      }
      FailureCause cause = causes[random.nextInt(causes.length)];
      deliver(new Event.AttemptFailed(script.now, effect.attempt(), cause, exposure, 0));
    }

    private void cancel(Effect.Cancel cancel, boolean fails) {
      if (!fails) {
        heldUpstream.remove(cancel.attempt());
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
      // One answer of a cancel can't stand for the next: each try is answered exactly once.
      if (!(event instanceof Event.CancelSettled)) {
        delivered.add(event);
      }
      apply(event);
    }
  }
}
