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

  /** Owners with scripted answers; the last answer is repeated. */
  private static final class ScriptedOwners implements RunOwners {
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

  private static final class Fixture {
    final VirtualTime time = new VirtualTime();
    final ScriptedOwners owners = new ScriptedOwners();
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

  /** Claims: a lost answer must neither fail a claim at once nor leave one behind. */
  public static class Claims {
    @Test
    public void claimIsRetriedWithSameTokenAfterLostAnswer() {
      Fixture fixture = new Fixture();
      RunToken token = new RunToken(SELF, ATTEMPT);
      fixture.owners.claims.add(lost());
      fixture.owners.claims.add(answer(new ClaimResult.NotOwner(Optional.empty())));
      fixture.owners.claims.add(answer(new ClaimResult.Claimed(token)));
      fixture.claim();
      assertEquals(fixture.claimOutcomes(), List.of());
      fixture.time.advance(Duration.ofSeconds(1));
      assertEquals(fixture.claimOutcomes(), List.of(ClaimOutcome.CLAIMED));
      assertEquals(fixture.owners.tokens, List.of(token, token, token));
    }

    @Test
    public void abandonedClaimIsReleased() {
      Fixture fixture = new Fixture();
      fixture.owners.claims.add(lost());
      fixture.owners.records.add(answer(RecordResult.RECORDED));
      fixture.claim();
      fixture.time.advance(Duration.ofSeconds(60));
      assertEquals(fixture.claimOutcomes(), List.of(ClaimOutcome.UNAVAILABLE));
      assertEquals(fixture.owners.outcomes, List.of(new RunOutcome.NotRun()));
    }

    @Test
    public void doneRunWithoutItsAnswerIsUnknownAndNotRunAgain() {
      Fixture fixture = new Fixture();
      fixture.owners.claims.add(answer(new ClaimResult.AlreadyDone(Optional.empty())));
      fixture.claim();
      assertEquals(fixture.claimOutcomes(), List.of(ClaimOutcome.UNKNOWN));
    }
  }

  /** Records of outcomes: they must be retried until the owner has them durably. */
  public static class Records {
    @Test
    public void areRetriedUntilDurable() {
      Fixture fixture = new Fixture();
      fixture.owners.claims.add(answer(new ClaimResult.Claimed(new RunToken(SELF, ATTEMPT))));
      fixture.owners.records.add(lost());
      fixture.owners.records.add(answer(RecordResult.NOT_OWNER));
      fixture.owners.records.add(answer(RecordResult.RECORDED));
      fixture.claim();
      fixture.record(RunResult.NOT_RUN);
      fixture.time.advance(Duration.ofSeconds(1));
      Event.RecordSettled settled = (Event.RecordSettled) fixture.events.getLast();
      assertEquals(settled.outcome(), RecordOutcome.RECORDED);
      assertEquals(fixture.owners.outcomes.size(), 3);
      assertTrue(fixture.owners.outcomes.stream().allMatch(new RunOutcome.NotRun()::equals));
    }

    @Test
    public void doneRunWithoutAnswerIsRecordedAsUnknown() {
      Fixture fixture = new Fixture();
      fixture.owners.claims.add(answer(new ClaimResult.Claimed(new RunToken(SELF, ATTEMPT))));
      fixture.owners.records.add(answer(RecordResult.RECORDED));
      fixture.claim();
      fixture.record(RunResult.DONE);
      assertEquals(fixture.owners.outcomes, List.of(new RunOutcome.Unknown()));
    }
  }
}
