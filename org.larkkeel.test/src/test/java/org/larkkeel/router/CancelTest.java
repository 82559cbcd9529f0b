/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router;

import static org.larkkeel.router.Fixtures.completion;
import static org.larkkeel.router.Fixtures.configuration;
import static org.larkkeel.router.Fixtures.engine;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import org.larkkeel.effect.Effect;
import org.larkkeel.event.CancelOutcome;
import org.larkkeel.event.Event;
import org.larkkeel.event.LoadReport;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;
import org.testng.annotations.Test;

/**
 * Guards against work that upstreams keep for a caller that has left, in every stage of a request.
 */
public class CancelTest {
  private static Script ready(int decodeSlots) {
    return new Script()
        .configure(
            configuration(1, engine("p1", "prefill", 4), engine("d1", "decode", decodeSlots)));
  }

  private static Script callerLeaves(Script script, long request) {
    return script.apply(new Event.CallerGone(script.now, new RequestId(request)));
  }

  private static void report(Script script, String upstream, long incarnation) {
    report(script, upstream, incarnation, script.now);
  }

  private static void report(Script script, String upstream, long incarnation, long asOf) {
    LoadReport report =
        new LoadReport(new Incarnation(incarnation), asOf, 2, 0, 0, 10, 10, ImmutableSet.of());
    script.apply(new Event.LoadReported(script.now, new UpstreamName(upstream), report));
  }

  /** Callers that leave in each stage; no slot or KV cache stays held. */
  public static class StageTest {
    @Test
    public void queued() {
      Script script = ready(1);
      script.arrive(completion(1)).arrive(completion(2));
      assertTrue(script.all(Effect.StartPrefill.class).isEmpty(), "the only slot is reserved");
      callerLeaves(script, 2);
      assertTrue(script.lastEffect(2) instanceof Effect.Forget);
      assertEquals(script.router.status().queued(), 0);
    }

    @Test
    public void prefilling() {
      Script script = ready(1).arrive(completion(1));
      AttemptId prefill = script.only(Effect.StartPrefill.class).attempt();
      callerLeaves(script, 1);
      assertEquals(script.only(Effect.Cancel.class).attempt(), prefill);
      assertTrue(script.lastEffect(1) instanceof Effect.Forget);
      script.assertIdle();
    }

    @Test
    public void transferring() {
      Script script = ready(1).arrive(completion(1));
      AttemptId prefill = script.only(Effect.StartPrefill.class).attempt();
      script.prefilled(prefill);
      AttemptId decode = script.only(Effect.StartTransfer.class).attempt();
      callerLeaves(script, 1);
      assertEquals(
          script.all(Effect.Cancel.class).stream().map(Effect.Cancel::attempt).toList(),
          List.of(decode, prefill));
      script.assertIdle();
    }

    @Test
    public void decoding() {
      Script script = ready(1);
      AttemptId decode = script.toDecode(completion(1)).attempt();
      callerLeaves(script, 1);
      assertEquals(script.only(Effect.Cancel.class).attempt(), decode);
      script.assertIdle();
    }
  }

  /** Retries of a cancel until the upstream acknowledges it or has restarted. */
  public static class RetryTest {
    @Test
    public void cancelIsRetriedUntilAcknowledged() {
      Script script = ready(1);
      AttemptId decode = script.toDecode(completion(1)).attempt();
      callerLeaves(script, 1);
      for (int i = 0; i < 3; i++) {
        script.cancelSettled(decode, CancelOutcome.FAILED);
        script.pass(2_000);
        assertEquals(script.only(Effect.Cancel.class).attempt(), decode);
      }
      script.cancelSettled(decode, CancelOutcome.ACKNOWLEDGED);
      script.pass(2_000);
      assertTrue(script.all(Effect.Cancel.class).isEmpty());
      assertEquals(script.router.status().cancels(), 0);
    }

    @Test
    public void cancelEndsWithTheIncarnationThatHeldTheRequest() {
      Script script = ready(1);
      report(script, "d1", 1);
      AttemptId decode = script.toDecode(completion(1)).attempt();
      callerLeaves(script, 1);
      script.cancelSettled(decode, CancelOutcome.FAILED);
      report(script, "d1", 2);
      assertEquals(script.router.status().cancels(), 0);
      script.pass(2_000);
      assertTrue(script.all(Effect.Cancel.class).isEmpty());
    }

    @Test
    public void cancelEndsThoughTheIncarnationDecreasedWithTheClock() {
      Script script = ready(1);
      report(script, "d1", 2);
      script.toDecode(completion(1));
      callerLeaves(script, 1);
      script.pass(10);
      report(script, "d1", 1);
      assertEquals(script.router.status().cancels(), 0);
    }

    @Test
    public void lateReportOfEarlierIncarnationDoesNotEndTheCancel() {
      Script script = ready(1);
      final long before = script.now;
      script.pass(10);
      report(script, "d1", 2);
      script.toDecode(completion(1));
      callerLeaves(script, 1);
      report(script, "d1", 1, before);
      report(script, "d1", 3, before);
      assertEquals(script.router.status().cancels(), 1);
    }

    @Test
    public void resultThatArrivesAfterTheCancelIsCancelledAgain() {
      Script script = ready(1).arrive(completion(1));
      AttemptId prefill = script.only(Effect.StartPrefill.class).attempt();
      callerLeaves(script, 1);
      script.cancelSettled(prefill, CancelOutcome.ACKNOWLEDGED);
      script.prefilled(prefill);
      assertEquals(script.only(Effect.Cancel.class).attempt(), prefill);
      assertTrue(script.all(Effect.StartTransfer.class).isEmpty());
    }
  }
}
