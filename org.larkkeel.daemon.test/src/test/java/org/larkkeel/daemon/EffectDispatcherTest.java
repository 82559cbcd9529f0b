/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.larkkeel.call.RunKey;
import org.larkkeel.effect.Effect;
import org.larkkeel.effect.EffectSink;
import org.larkkeel.effect.RunResult;
import org.larkkeel.event.CancelOutcome;
import org.larkkeel.event.ClaimOutcome;
import org.larkkeel.event.Event;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;
import org.larkkeel.event.RecordOutcome;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.IdempotencyKey;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.lib.WorkspaceName;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link EffectDispatcher}. */
public class EffectDispatcherTest {
  private static final long NOW = 42;
  private static final AttemptId ATTEMPT = new AttemptId(7);
  private static final RequestId REQUEST = new RequestId(3);
  private static final UpstreamName UPSTREAM = new UpstreamName("u");
  private static final WorkspaceName WORKSPACE = new WorkspaceName("w");
  private static final RunKey KEY = new RunKey(new IdempotencyKey("k"), 1);

  /** Adapters that throw: an effect that expects an outcome must still get one, as a failure. */
  public static class Exceptions {
    @DataProvider
    static Object[][] effects() {
      return new Object[][] {
        {new Effect.StartPrefill(ATTEMPT, REQUEST, UPSTREAM, 0, 5, 1), failed(5)},
        {new Effect.StartTransfer(ATTEMPT, REQUEST, ATTEMPT, UPSTREAM, UPSTREAM, 1), failed(0)},
        {new Effect.StartDecode(ATTEMPT, REQUEST, UPSTREAM, 0, 9, 1), failed(9)},
        {new Effect.SendPlain(ATTEMPT, REQUEST, UPSTREAM, 1), failed(0)},
        {
          new Effect.Cancel(ATTEMPT, REQUEST, UPSTREAM),
          new Event.CancelSettled(NOW, ATTEMPT, CancelOutcome.FAILED)
        },
        {
          new Effect.ClaimRun(ATTEMPT, REQUEST, WORKSPACE, KEY),
          new Event.ClaimSettled(NOW, ATTEMPT, ClaimOutcome.UNAVAILABLE)
        },
        {
          new Effect.RecordRun(ATTEMPT, REQUEST, WORKSPACE, KEY, RunResult.DONE),
          new Event.RecordSettled(NOW, ATTEMPT, RecordOutcome.FAILED)
        },
        {new Effect.Wake(50), new Event.Ticked(NOW)},
      };
    }

    private static Event failed(int tokens) {
      return new Event.AttemptFailed(
          NOW, ATTEMPT, FailureCause.BAD_ANSWER, Exposure.MAY_HAVE_RUN, tokens);
    }

    @Test(dataProvider = "effects")
    public void publishFailureOfEffect(Effect effect, Event expected) {
      EffectSink broken =
          e -> {
            throw new IllegalStateException("thrown by the test");
          };
      EffectPorts ports = new EffectPorts(broken, broken, broken, broken, broken, broken);
      List<Event> events = new ArrayList<>();
      new EffectDispatcher(ports, events::add, () -> NOW).accept(effect);
      assertEquals(events, List.of(expected));
    }
  }

  /** The adapter to which an effect is passed. */
  public static class Routes {
    @Test
    public void claimsGoToTheRunLogAndCancelsToTheUpstream() {
      List<Effect> runs = new ArrayList<>();
      List<Effect> upstreams = new ArrayList<>();
      EffectSink none =
          e -> {
            throw new AssertionError("unexpected " + e);
          };
      EffectPorts ports = new EffectPorts(upstreams::add, none, runs::add, none, none, none);
      EffectDispatcher dispatcher = new EffectDispatcher(ports, e -> {}, () -> NOW);
      Effect claim = new Effect.ClaimRun(ATTEMPT, REQUEST, WORKSPACE, KEY);
      Effect cancel = new Effect.Cancel(ATTEMPT, REQUEST, UPSTREAM);
      dispatcher.accept(claim);
      dispatcher.accept(cancel);
      assertEquals(runs, List.of(claim));
      assertEquals(upstreams, List.of(cancel));
    }
  }
}
