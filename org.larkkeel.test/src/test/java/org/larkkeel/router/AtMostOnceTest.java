/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router;

import static org.larkkeel.router.Fixtures.configuration;
import static org.larkkeel.router.Fixtures.engine;
import static org.larkkeel.router.Fixtures.key;
import static org.larkkeel.router.Fixtures.plain;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.larkkeel.effect.Effect;
import org.larkkeel.effect.RunResult;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.ClaimOutcome;
import org.larkkeel.event.Event;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;
import org.larkkeel.event.RecordOutcome;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a second run of an at-most-once call, and against an error that says the call did
 * not run although it may have.
 */
public class AtMostOnceTest {
  private static Script ready() {
    return new Script()
        .configure(configuration(1, engine("s1", "service", 2), engine("s2", "service", 2)));
  }

  private static Script claimed() {
    Script script = ready().arrive(plain(1, "/order", key("k")));
    return answerClaim(script, script.only(Effect.ClaimRun.class).attempt(), ClaimOutcome.CLAIMED);
  }

  private static Script answerClaim(Script script, AttemptId attempt, ClaimOutcome outcome) {
    return script.apply(new Event.ClaimSettled(script.now, attempt, outcome));
  }

  /** Calls with an idempotency key, whose run is claimed first. */
  public static class WithKeyTest {
    @Test
    public void nothingIsSentBeforeTheClaimIsDurable() {
      Script script = ready().arrive(plain(1, "/order", key("k")));
      assertTrue(script.all(Effect.SendPlain.class).isEmpty());
      answerClaim(script, script.only(Effect.ClaimRun.class).attempt(), ClaimOutcome.CLAIMED);
      script.only(Effect.SendPlain.class);
    }

    /** The outcomes of a claim that refuse the call, with the resulting error kinds. */
    @DataProvider
    public Object[][] refusedClaims() {
      return new Object[][] {
        {ClaimOutcome.IN_PROGRESS, ErrorKind.IN_PROGRESS},
        {ClaimOutcome.UNKNOWN, ErrorKind.UNKNOWN_OUTCOME},
        {ClaimOutcome.KEY_REUSED, ErrorKind.KEY_REUSED},
        {ClaimOutcome.UNAVAILABLE, ErrorKind.STORE_UNAVAILABLE}
      };
    }

    @Test(dataProvider = "refusedClaims")
    public void refusedClaimSendsNothing(ClaimOutcome outcome, ErrorKind kind) {
      Script script = ready().arrive(plain(1, "/order", key("k")));
      answerClaim(script, script.only(Effect.ClaimRun.class).attempt(), outcome);
      assertEquals(script.refusal(1), kind);
      assertTrue(script.all(Effect.SendPlain.class).isEmpty());
      script.assertIdle();
    }

    @Test
    public void earlierAnswerIsReplayed() {
      Script script = ready().arrive(plain(1, "/order", key("k")));
      answerClaim(script, script.only(Effect.ClaimRun.class).attempt(), ClaimOutcome.ALREADY_DONE);
      assertTrue(script.lastEffect(1) instanceof Effect.Replay);
    }

    @Test
    public void outcomeIsRecordedBeforeTheAnswer() {
      Script script = claimed();
      AttemptId attempt = script.only(Effect.SendPlain.class).attempt();
      script.apply(new Event.PlainDone(script.now, attempt));
      assertEquals(script.only(Effect.RecordRun.class).result(), RunResult.DONE);
      assertEquals(script.lastEffect(1), null);
      script.apply(new Event.RecordSettled(script.now, attempt, RecordOutcome.FAILED));
      assertTrue(script.lastEffect(1) instanceof Effect.Complete);
      script.assertIdle();
    }

    @Test
    public void unsentCallIsRetriedUnderTheSameClaim() {
      Script script = claimed();
      Effect.SendPlain first = script.only(Effect.SendPlain.class);
      script.fail(first.attempt(), FailureCause.CONNECT_FAILED, Exposure.NOT_SENT);
      script.pass(100);
      assertTrue(script.all(Effect.ClaimRun.class).isEmpty());
      assertTrue(!script.only(Effect.SendPlain.class).upstream().equals(first.upstream()));
    }

    @Test
    public void callWithUnknownOutcomeIsRecordedAndNotRunAgain() {
      Script script = claimed();
      AttemptId attempt = script.only(Effect.SendPlain.class).attempt();
      script.fail(attempt, FailureCause.CONNECTION_LOST, Exposure.MAY_HAVE_RUN);
      assertEquals(script.only(Effect.RecordRun.class).result(), RunResult.UNKNOWN);
      assertEquals(script.refusal(1), ErrorKind.UNKNOWN_OUTCOME);
      script.pass(1_000);
      assertTrue(script.all(Effect.SendPlain.class).isEmpty());
    }

    @Test
    public void runContinuesAfterItsCallerLeftAndIsRecorded() {
      Script script = claimed();
      AttemptId attempt = script.only(Effect.SendPlain.class).attempt();
      script.apply(new Event.CallerGone(script.now, new RequestId(1)));
      assertTrue(script.all(Effect.Cancel.class).isEmpty());
      script.apply(new Event.PlainDone(script.now, attempt));
      assertEquals(script.only(Effect.RecordRun.class).result(), RunResult.DONE);
      script.apply(new Event.RecordSettled(script.now, attempt, RecordOutcome.RECORDED));
      assertTrue(script.lastEffect(1) instanceof Effect.Forget);
      script.assertIdle();
    }

    @Test
    public void claimGrantedAfterTheCallerLeftIsReleased() {
      Script script = ready().arrive(plain(1, "/order", key("k")));
      AttemptId claim = script.only(Effect.ClaimRun.class).attempt();
      script.apply(new Event.CallerGone(script.now, new RequestId(1)));
      answerClaim(script, claim, ClaimOutcome.CLAIMED);
      assertEquals(script.only(Effect.RecordRun.class).result(), RunResult.NOT_RUN);
    }

    @Test
    public void claimPendingAtTheDeadlineIsNotReportedAsNotRun() {
      Script script = ready().arrive(plain(1, "/order", key("k")));
      script.pass(11_000);
      assertEquals(script.refusal(1), ErrorKind.DEADLINE_EXCEEDED);
    }
  }

  /** Calls without an idempotency key, which can't be claimed. */
  public static class WithoutKeyTest {
    /** Failures with the resulting error kinds; null if the call is retried. */
    @DataProvider
    public Object[][] failures() {
      return new Object[][] {
        {FailureCause.CONNECT_FAILED, Exposure.NOT_SENT, null},
        {FailureCause.BUSY, Exposure.REFUSED, ErrorKind.OVERLOADED},
        {FailureCause.CONNECTION_LOST, Exposure.MAY_HAVE_RUN, ErrorKind.UPSTREAM_FAILED}
      };
    }

    @Test(dataProvider = "failures")
    public void oneAttemptAtMostReachesAnUpstream(
        FailureCause cause, Exposure exposure, ErrorKind refusal) {
      Script script = ready().arrive(plain(1, "/order", Optional.empty()));
      script.fail(script.only(Effect.SendPlain.class).attempt(), cause, exposure);
      if (refusal == null) {
        script.pass(100);
        script.only(Effect.SendPlain.class);
      } else {
        assertEquals(script.refusal(1), refusal);
        script.pass(1_000);
        assertTrue(script.all(Effect.SendPlain.class).isEmpty());
      }
    }
  }
}
