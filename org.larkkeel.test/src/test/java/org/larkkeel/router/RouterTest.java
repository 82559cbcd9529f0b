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

import org.larkkeel.effect.Effect;
import org.larkkeel.effect.Fact;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.CancelOutcome;
import org.larkkeel.event.Event;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.UpstreamName;
import org.testng.annotations.Test;

/** The router from event to effect, with one request at a time. */
public class RouterTest {
  private static Script ready() {
    return new Script()
        .configure(
            configuration(
                1,
                engine("p1", "prefill", 4),
                engine("p2", "prefill", 4),
                engine("d1", "decode", 2),
                engine("d2", "decode", 2),
                engine("s1", "service", 2),
                engine("s2", "service", 2)));
  }

  /** Requests without failures. */
  public static class WithoutFailuresTest {
    @Test
    public void completionRunsInBothPoolsAndEndsOnce() {
      Script script = ready();
      Effect.StartDecode decode = script.toDecode(completion(1));
      script.apply(new Event.FirstToken(script.now, decode.attempt()));
      assertEquals(script.facts(Fact.PrefillUsed.class).size(), 1);
      script.apply(new Event.DecodeDone(script.now, decode.attempt(), 20));
      assertTrue(script.lastEffect(1) instanceof Effect.Complete);
      script.assertIdle();
    }

    @Test
    public void unknownModelIsRefusedAndNothingIsKept() {
      Script script = new Script().configure(configuration(1));
      script.arrive(completion(1));
      assertEquals(script.refusal(1), ErrorKind.NO_UPSTREAM);
      script.assertIdle();
    }
  }

  /** Explanations of placement for operators. */
  public static class ExplanationTest {
    @Test
    public void everyCandidateHasItsVerdictAndNothingChanges() {
      Script script = ready();
      final RouterStatus before = script.router.status();
      Explanation explanation = script.router.explain(completion(1));
      assertEquals(explanation.rule().orElseThrow().value(), "model");
      assertEquals(explanation.candidates().size(), 4);
      assertTrue(
          explanation.candidates().stream().allMatch(c -> c.verdict() == Explanation.Verdict.FITS));
      assertEquals(script.router.status(), before);
    }

    @Test
    public void fullAndEjectedUpstreamsAreNamed() {
      Script script = ready();
      for (int i = 0; i < 3; i++) {
        script.apply(new Event.LoadUnavailable(script.now, new UpstreamName("d1")));
      }
      for (int i = 1; i <= 2; i++) {
        script.toDecode(completion(i));
      }
      Explanation explanation = script.router.explain(completion(9));
      assertEquals(verdict(explanation, "d1"), Explanation.Verdict.EJECTED);
      assertEquals(verdict(explanation, "p1"), Explanation.Verdict.FITS);
      assertEquals(explanation.candidates().getLast().freeSlots(), 0, "d2 is full");
    }

    private static Explanation.Verdict verdict(Explanation explanation, String upstream) {
      return explanation.candidates().stream()
          .filter(c -> c.upstream().value().equals(upstream))
          .map(Explanation.Candidate::verdict)
          .findFirst()
          .orElseThrow();
    }
  }

  /** Failures of transfers and of decode engines. */
  public static class DecodeFailureTest {
    @Test
    public void heldKvCacheIsTransferredToAnotherEngineWithoutSecondPrefill() {
      Script script = ready();
      script.arrive(completion(1));
      script.prefilled(script.only(Effect.StartPrefill.class).attempt());
      Effect.StartTransfer first = script.only(Effect.StartTransfer.class);
      script.fail(first.attempt(), FailureCause.CONNECTION_LOST, Exposure.MAY_HAVE_RUN);
      assertEquals(script.only(Effect.Cancel.class).attempt(), first.attempt());
      assertTrue(
          script.all(Effect.StartTransfer.class).isEmpty(),
          "the cancel must end before the next transfer");
      script.cancelSettled(first.attempt(), CancelOutcome.FAILED);
      Effect.StartTransfer second = script.only(Effect.StartTransfer.class);
      assertEquals(second.prefill(), first.prefill());
      assertTrue(!second.to().equals(first.to()), "the failed engine is avoided");
      assertTrue(script.all(Effect.StartPrefill.class).isEmpty());
    }

    @Test
    public void brokenStreamResumesAfterTheLastDeliveredToken() {
      Script script = ready();
      Effect.StartDecode decode = script.toDecode(completion(1));
      script.apply(new Event.FirstToken(script.now, decode.attempt()));
      script.fail(decode.attempt(), FailureCause.CONNECTION_LOST, Exposure.MAY_HAVE_RUN, 7);
      script.pass(100);
      Effect.StartPrefill again = script.only(Effect.StartPrefill.class);
      assertEquals(again.resumeFrom(), 7);
      script.prefilled(again.attempt());
      script.transferred(script.only(Effect.StartTransfer.class).attempt());
      assertEquals(script.only(Effect.StartDecode.class).resumeFrom(), 7);
    }
  }
}
