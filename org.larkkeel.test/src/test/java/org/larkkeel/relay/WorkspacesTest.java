/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.quota.QuotaAsk;
import org.larkkeel.quota.QuotaGrant;
import org.larkkeel.quota.QuotaPool;
import org.larkkeel.quota.QuotaTolerance;
import org.larkkeel.quota.TokenLimit;
import org.larkkeel.relay.RelayWorkspace.QuotaUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Calls of workspaces: their keys, what upstreams are told, and their quotas. */
public class WorkspacesTest {
  private static final String KEY = "weavers-key";
  private static final WorkspaceName WEAVERS = new WorkspaceName("weavers");
  private static final CallSize STREAM = new CallSize(900, 100, 50);
  private static final TokenLimit LIMIT = new TokenLimit(2_000, 2_000);

  private static Workspaces weavers(TokenLimit limit, String... keys) {
    return Workspaces.builder()
        .add(
            new RelayWorkspace(WEAVERS, limit, QuotaUnit.TOKENS, 200),
            List.of(keys).stream().map(CallerKey::of).toList())
        .build();
  }

  private static RelayWorld world(TokenLimit limit) {
    RelayWorld w = RelayWorld.usual();
    w.configure(2, RelayWorld.rules(), weavers(limit, KEY));
    return w;
  }

  private static Optional<WorkspaceName> told(RelayWorld w) {
    return w.sent().workspace();
  }

  /** Callers and their keys. */
  public static class Keys {
    @Test
    public void areNeeded() {
      RelayWorld w = world(TokenLimit.NONE);
      w.arrive("/once/a");
      assertEquals(w.refusal(), ErrorKind.UNAUTHENTICATED);
      assertEquals(w.sends(), 0);
    }

    @Test
    public void mustBelongToSomeWorkspace() {
      RelayWorld w = world(TokenLimit.NONE);
      w.arriveWithKey("/once/a", CallSize.NONE, "another-key");
      assertEquals(w.refusal(), ErrorKind.UNAUTHENTICATED);
      assertEquals(w.refused().retryAfterMillis(), 0);
      assertEquals(w.sends(), 0);
    }

    @Test
    public void areNotNeededWhereRulesAllowAnonymousCallers() {
      RelayWorld w = RelayWorld.usual();
      RelayRule once = RelayWorld.rules().get(1);
      RelayRule open =
          new RelayRule(
              once.name(),
              once.host(),
              once.prefix(),
              once.split(),
              once.kind(),
              once.timeoutMillis(),
              once.maxRuns(),
              once.targetMillis(),
              once.gapMillis(),
              once.priority(),
              true);
      w.configure(2, ImmutableList.of(open), weavers(TokenLimit.NONE, KEY));
      w.arrive("/once/a");
      assertEquals(told(w), Optional.empty());
    }

    @Test
    public void areNotNeededWithoutWorkspaces() {
      RelayWorld w = RelayWorld.usual();
      w.arrive("/once/a");
      assertEquals(told(w), Optional.empty());
    }

    @Test
    public void areNotInTextForPeople() {
      assertFalse(CallerKey.of(KEY).toString().contains(KEY));
      assertFalse(CallerKey.of(KEY).toString().contains(CallerKey.of(KEY).digest().toString()));
    }

    @DataProvider
    static Object[][] unfit() {
      return new Object[][] {{""}, {"a b"}, {"ñ"}, {"x".repeat(257)}, {"a\n"}};
    }

    @Test(dataProvider = "unfit", expectedExceptions = IllegalArgumentException.class)
    public void areVisibleAscii(String key) {
      CallerKey.of(key);
    }
  }

  /** The name that upstreams are told. */
  public static class Name {
    @Test
    public void goesWithTheReadingOfPromptsAndTheirRuns() {
      RelayWorld w = world(TokenLimit.NONE);
      w.arriveWithKey("/stream/a", STREAM, KEY);
      assertTrue(w.sent().purpose() instanceof RelayEffect.Purpose.ReadPrompt);
      assertEquals(told(w), Optional.of(WEAVERS));
      w.promptRead();
      assertTrue(w.sent().purpose() instanceof RelayEffect.Purpose.TakeOver);
      assertEquals(told(w), Optional.of(WEAVERS));
    }

    @Test
    public void goesWithRepeats() {
      RelayWorld w = world(TokenLimit.NONE);
      w.arriveWithKey("/safe/a", CallSize.NONE, KEY);
      w.lost();
      assertEquals(w.sends(), 2);
      assertEquals(told(w), Optional.of(WEAVERS));
    }

    @Test
    public void goesWithRunsThatGoOnElsewhere() {
      RelayWorld w = world(TokenLimit.NONE);
      w.arriveWithKey("/resume/a", STREAM, KEY);
      w.promptRead();
      w.began();
      w.lost();
      assertEquals(told(w), Optional.of(WEAVERS));
    }
  }

  /** Keys that are taken away. */
  public static class Removed {
    private static void remove(RelayWorld w) {
      w.configure(3, RelayWorld.rules(), weavers(TokenLimit.NONE));
    }

    @Test
    public void letNoCallInAnyMore() {
      RelayWorld w = world(TokenLimit.NONE);
      remove(w);
      w.arriveWithKey("/once/a", CallSize.NONE, KEY);
      assertEquals(w.refusal(), ErrorKind.UNAUTHENTICATED);
    }

    @Test
    public void letNoPromptBeRunThatWasRead() {
      RelayWorld w = world(TokenLimit.NONE);
      w.arriveWithKey("/stream/a", STREAM, KEY);
      remove(w);
      w.promptRead();
      assertEquals(w.refusal(), ErrorKind.UNAUTHENTICATED);
      assertEquals(w.sends(), 1);
    }

    @Test
    public void letNoCallBeRepeated() {
      RelayWorld w = world(TokenLimit.NONE);
      w.arriveWithKey("/safe/a", CallSize.NONE, KEY);
      remove(w);
      w.lost();
      assertEquals(w.sends(), 1);
      assertEquals(w.refusal(), ErrorKind.UPSTREAM_FAILED, "it may have run");
    }

    @Test
    public void letNoCallGoThatWaitedForRoom() {
      RelayWorld w = world(TokenLimit.NONE);
      CallSize half = new CallSize((int) RelayWorld.MEMORY * 2 / 3, 100, 50);
      w.arriveWithKey("/stream/a", half, KEY);
      w.promptRead();
      w.arriveWithKey("/stream/b", half, KEY);
      w.promptRead();
      w.arriveWithKey("/stream/c", half, KEY);
      int before = w.sends();
      remove(w);
      w.answered(AnswerGrade.GOOD);
      assertEquals(w.sends(), before);
      assertEquals(w.refusal(), ErrorKind.UNAUTHENTICATED);
    }

    @Test
    public void letStreamsGoOnThatHaveBegun() {
      RelayWorld w = world(TokenLimit.NONE);
      w.arriveWithKey("/stream/a", STREAM, KEY);
      w.promptRead();
      w.began();
      remove(w);
      w.answered(AnswerGrade.GOOD);
      assertEquals(w.of(RelayEffect.Deliver.class).size(), 1);
    }

    @Test
    public void areNotBroughtBackByAnOlderRevision() {
      RelayWorld w = world(TokenLimit.NONE);
      remove(w);
      w.configure(2, RelayWorld.rules(), weavers(TokenLimit.NONE, KEY));
      w.arriveWithKey("/once/a", CallSize.NONE, KEY);
      assertEquals(w.refusal(), ErrorKind.UNAUTHENTICATED);
    }
  }

  /** Quotas. */
  public static class Quota {
    private static final HostName NODE = new HostName("node-1");

    /** The ask that is due, answered by a coordinator to which some time was lent. */
    private static void grant(RelayWorld w, QuotaPool pool) {
      QuotaAsk ask = w.router.quotaAsk(w.now(), false).orElseThrow();
      QuotaGrant grant = pool.ask(w.now(), NODE, ask, 1, name -> Optional.of(LIMIT));
      w.apply(new RelayEvent.QuotaGranted(w.now(), grant));
    }

    /** A coordinator to which the node's earlier process has lent a second. */
    private static QuotaPool full(RelayWorld w) {
      QuotaPool pool = new QuotaPool(QuotaTolerance.NONE);
      pool.ask(
          w.now(),
          NODE,
          new QuotaAsk(1, 1, 1_000_000_000L, 1, ImmutableList.of()),
          1,
          name -> Optional.of(LIMIT));
      return pool;
    }

    @Test
    public void isAskedForBeforeAnythingIsSent() {
      RelayWorld w = world(LIMIT);
      w.arriveWithKey("/once/a", CallSize.NONE, KEY);
      assertEquals(w.sends(), 0);
      grant(w, full(w));
      assertEquals(w.sends(), 1);
    }

    @Test
    public void refusesAtOnceWithTheTimeOfRefill() {
      RelayWorld w = world(LIMIT);
      QuotaPool pool = full(w);
      w.arriveWithKey("/stream/a", new CallSize(1_700, 100, 50), KEY);
      grant(w, pool);
      w.arriveWithKey("/stream/b", STREAM, KEY);
      grant(w, pool);
      assertEquals(w.refusal(), ErrorKind.WORKSPACE_LIMIT);
      long after = w.refused().retryAfterMillis();
      assertTrue(after >= 400 && after <= 510, "800 of 1000 tokens are missing: " + after);
    }

    @Test
    public void tellsOfCallsLargerThanItsBurst() {
      RelayWorld w = world(LIMIT);
      w.arriveWithKey("/stream/a", new CallSize(2_000, 1, 0), KEY);
      assertEquals(w.refusal(), ErrorKind.WORKSPACE_LIMIT);
      assertEquals(w.refused().retryAfterMillis(), 0);
      assertTrue(w.refused().detail().contains("burst"));
    }

    @Test
    public void getsBackWhatNoUpstreamHasRun() {
      RelayWorld w = world(LIMIT);
      QuotaPool pool = full(w);
      w.arriveWithKey("/once/a", CallSize.NONE, KEY);
      grant(w, pool);
      w.declined();
      w.declined();
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
      w.pass(100);
      QuotaAsk ask = w.router.quotaAsk(w.now(), false).orElseThrow();
      assertEquals(ask.wants().getFirst().returned(), 200);
    }

    @Test
    public void doesNotGetBackWhatMayHaveRun() {
      RelayWorld w = world(LIMIT);
      w.arriveWithKey("/once/a", CallSize.NONE, KEY);
      grant(w, full(w));
      w.lost();
      assertEquals(w.router.quotaAsk(w.now(), false), Optional.empty());
    }

    @Test
    public void decidesAloneIfNobodyAnswers() {
      RelayWorld w = world(LIMIT);
      w.arriveWithKey("/once/a", CallSize.NONE, KEY);
      w.pass(260);
      assertEquals(w.refusal(), ErrorKind.WORKSPACE_LIMIT, "nothing may be exceeded here");
    }

    @Test
    public void isNotAskedForWithoutLimits() {
      RelayWorld w = world(TokenLimit.NONE);
      w.arriveWithKey("/once/a", CallSize.NONE, KEY);
      assertEquals(w.sends(), 1);
      assertEquals(w.router.quotaAsk(w.now(), true), Optional.empty());
    }
  }
}
