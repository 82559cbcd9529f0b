/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.larkkeel.call.RunKey;
import org.larkkeel.effect.Effect;
import org.larkkeel.effect.RunResult;
import org.larkkeel.event.ClaimOutcome;
import org.larkkeel.event.Event;
import org.larkkeel.event.RecordOutcome;
import org.larkkeel.http.request.RequestTable;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.IdempotencyKey;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.store.log.WriterId;
import org.larkkeel.store.run.ClaimRequest;
import org.larkkeel.store.run.ClaimResult;
import org.larkkeel.store.run.RecordResult;
import org.larkkeel.store.run.RunId;
import org.larkkeel.store.run.RunOutcome;
import org.larkkeel.store.run.RunToken;
import org.testng.annotations.Test;

/** Tests of {@link RunAdapter}. */
public class RunAdapterTest {
  private static final AttemptId ATTEMPT = new AttemptId(7);
  private static final RequestId REQUEST = new RequestId(3);
  private static final WorkspaceName WORKSPACE = new WorkspaceName("w");
  private static final RunKey KEY = new RunKey(new IdempotencyKey("k"), 1);
  private static final WriterId SELF = new WriterId(new HostName("h"), new Incarnation(1));

  /** Owners that answer what the test says; without an answer left, the last one again. */
  private static final class Owners implements RunOwners {
    final Deque<CompletableFuture<ClaimResult>> claims = new ArrayDeque<>();
    final Deque<CompletableFuture<RecordResult>> records = new ArrayDeque<>();
    final List<RunToken> tokens = new ArrayList<>();
    final List<RunOutcome> outcomes = new ArrayList<>();

    @Override
    public CompletableFuture<ClaimResult> claim(ClaimRequest request) {
      tokens.add(request.token());
      return claims.size() > 1 ? claims.remove() : claims.peek();
    }

    @Override
    public CompletableFuture<RecordResult> record(RunId key, RunToken token, RunOutcome outcome) {
      outcomes.add(outcome);
      return records.size() > 1 ? records.remove() : records.peek();
    }
  }

  private static final class Rig {
    final VirtualTime time = new VirtualTime();
    final Owners owners = new Owners();
    final List<Event> events = new ArrayList<>();
    final RunAdapter adapter =
        new RunAdapter(owners, new RequestTable(), SELF, time, events::add, time::nanoTime);

    void claim() {
      adapter.accept(new Effect.ClaimRun(ATTEMPT, REQUEST, WORKSPACE, KEY));
    }

    void record(RunResult result) {
      adapter.accept(new Effect.RecordRun(ATTEMPT, REQUEST, WORKSPACE, KEY, result));
    }

    List<ClaimOutcome> claimOutcomes() {
      return events.stream()
          .filter(Event.ClaimSettled.class::isInstance)
          .map(e -> ((Event.ClaimSettled) e).outcome())
          .toList();
    }
  }

  private static <T> CompletableFuture<T> answer(T value) {
    return CompletableFuture.completedFuture(value);
  }

  private static <T> CompletableFuture<T> lost() {
    return CompletableFuture.failedFuture(new IllegalStateException("the answer was lost"));
  }

  /** Claims. */
  public static class Claims {
    @Test
    public void lostAnswerIsAskedForAgainWithTheSameToken() {
      Rig rig = new Rig();
      RunToken token = new RunToken(SELF, ATTEMPT);
      rig.owners.claims.add(lost());
      rig.owners.claims.add(answer(new ClaimResult.NotOwner(Optional.empty())));
      rig.owners.claims.add(answer(new ClaimResult.Claimed(token)));
      rig.claim();
      assertEquals(rig.claimOutcomes(), List.of());
      rig.time.advance(Duration.ofSeconds(1));
      assertEquals(rig.claimOutcomes(), List.of(ClaimOutcome.CLAIMED));
      assertEquals(rig.owners.tokens, List.of(token, token, token));
    }

    @Test
    public void claimThatIsGivenUpIsGivenBack() {
      Rig rig = new Rig();
      rig.owners.claims.add(lost());
      rig.owners.records.add(answer(RecordResult.RECORDED));
      rig.claim();
      rig.time.advance(Duration.ofSeconds(60));
      assertEquals(rig.claimOutcomes(), List.of(ClaimOutcome.UNAVAILABLE));
      assertEquals(rig.owners.outcomes, List.of(new RunOutcome.NotRun()));
    }

    @Test
    public void doneRunWithoutItsAnswerIsUnknownAndNotRunAgain() {
      Rig rig = new Rig();
      rig.owners.claims.add(answer(new ClaimResult.AlreadyDone(Optional.empty())));
      rig.claim();
      assertEquals(rig.claimOutcomes(), List.of(ClaimOutcome.UNKNOWN));
    }
  }

  /** Records. */
  public static class Records {
    @Test
    public void areRepeatedUntilDurable() {
      Rig rig = new Rig();
      rig.owners.claims.add(answer(new ClaimResult.Claimed(new RunToken(SELF, ATTEMPT))));
      rig.owners.records.add(lost());
      rig.owners.records.add(answer(RecordResult.NOT_OWNER));
      rig.owners.records.add(answer(RecordResult.RECORDED));
      rig.claim();
      rig.record(RunResult.NOT_RUN);
      rig.time.advance(Duration.ofSeconds(1));
      Event.RecordSettled settled = (Event.RecordSettled) rig.events.getLast();
      assertEquals(settled.outcome(), RecordOutcome.RECORDED);
      assertEquals(rig.owners.outcomes.size(), 3);
      assertTrue(rig.owners.outcomes.stream().allMatch(new RunOutcome.NotRun()::equals));
    }

    @Test
    public void runWithoutAnswerAtHandIsKeptAsUnknown() {
      Rig rig = new Rig();
      rig.owners.claims.add(answer(new ClaimResult.Claimed(new RunToken(SELF, ATTEMPT))));
      rig.owners.records.add(answer(RecordResult.RECORDED));
      rig.claim();
      rig.record(RunResult.DONE);
      assertEquals(rig.owners.outcomes, List.of(new RunOutcome.Unknown()));
    }
  }
}
