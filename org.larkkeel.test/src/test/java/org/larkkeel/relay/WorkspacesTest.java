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
import org.larkkeel.quota.QuotaCoordinator;
import org.larkkeel.quota.QuotaGrant;
import org.larkkeel.quota.QuotaRequest;
import org.larkkeel.quota.QuotaTolerance;
import org.larkkeel.quota.TokenLimit;
import org.larkkeel.relay.RelayWorkspace.QuotaUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests calls of workspaces: their keys, the workspace name sent to upstreams, and their quotas.
 */
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
    RelayWorld w = RelayWorld.withDefaults();
    w.configure(2, RelayWorld.rules(), weavers(limit, KEY));
    return w;
  }

  private static Optional<WorkspaceName> sentWorkspace(RelayWorld w) {
    return w.sent().workspace();
  }

  /** Callers and their keys. */
  public static class Keys {
    @Test
    public void areRequired() {
      RelayWorld w = world(TokenLimit.NONE);
      w.arrive("/once/a");
      assertEquals(w.refusal(), ErrorKind.UNAUTHENTICATED);
      assertEquals(w.sendCount(), 0);
    }

    @Test
    public void mustBelongToSomeWorkspace() {
      RelayWorld w = world(TokenLimit.NONE);
      w.arriveWithKey("/once/a", CallSize.NONE, "another-key");
      assertEquals(w.refusal(), ErrorKind.UNAUTHENTICATED);
      assertEquals(w.refused().retryAfterMillis(), 0);
      assertEquals(w.sendCount(), 0);
    }

    @Test
    public void areNotRequiredByRulesThatAllowAnonymousCallers() {
      RelayWorld w = RelayWorld.withDefaults();
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
      assertEquals(sentWorkspace(w), Optional.empty());
    }

    @Test
    public void areNotRequiredWithoutWorkspaces() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/once/a");
      assertEquals(sentWorkspace(w), Optional.empty());
    }

    @Test
    public void areNotInTextForPeople() {
      assertFalse(CallerKey.of(KEY).toString().contains(KEY));
      assertFalse(CallerKey.of(KEY).toString().contains(CallerKey.of(KEY).digest().toString()));
    }

    @DataProvider
    static Object[][] malformedKeys() {
      return new Object[][] {{""}, {"a b"}, {"ñ"}, {"x".repeat(257)}, {"a\n"}};
    }

    @Test(dataProvider = "malformedKeys", expectedExceptions = IllegalArgumentException.class)
    public void mustBeVisibleAscii(String key) {
      CallerKey.of(key);
    }
  }

  /** The workspace name that is sent to upstreams. */
  public static class Name {
    @Test
    public void isSentWithPrefillsAndRuns() {
      RelayWorld w = world(TokenLimit.NONE);
      w.arriveWithKey("/stream/a", STREAM, KEY);
      assertTrue(w.sent().purpose() instanceof RelayEffect.Purpose.ReadPrompt);
      assertEquals(sentWorkspace(w), Optional.of(WEAVERS));
      w.promptRead();
      assertTrue(w.sent().purpose() instanceof RelayEffect.Purpose.TakeOver);
      assertEquals(sentWorkspace(w), Optional.of(WEAVERS));
    }

    @Test
    public void isSentWithRetries() {
      RelayWorld w = world(TokenLimit.NONE);
      w.arriveWithKey("/safe/a", CallSize.NONE, KEY);
      w.lost();
      assertEquals(w.sendCount(), 2);
      assertEquals(sentWorkspace(w), Optional.of(WEAVERS));
    }

    @Test
    public void isSentWithContinuedRuns() {
      RelayWorld w = world(TokenLimit.NONE);
      w.arriveWithKey("/resume/a", STREAM, KEY);
      w.promptRead();
      w.began();
      w.lost();
      assertEquals(sentWorkspace(w), Optional.of(WEAVERS));
    }
  }

  /** Keys that were removed from the configuration. */
  public static class Removed {
    private static void remove(RelayWorld w) {
      w.configure(3, RelayWorld.rules(), weavers(TokenLimit.NONE));
    }

    @Test
    public void admitNoCalls() {
      RelayWorld w = world(TokenLimit.NONE);
      remove(w);
      w.arriveWithKey("/once/a", CallSize.NONE, KEY);
      assertEquals(w.refusal(), ErrorKind.UNAUTHENTICATED);
    }

    @Test
    public void allowNoRunOfPrefilledPrompts() {
      RelayWorld w = world(TokenLimit.NONE);
      w.arriveWithKey("/stream/a", STREAM, KEY);
      remove(w);
      w.promptRead();
      assertEquals(w.refusal(), ErrorKind.UNAUTHENTICATED);
      assertEquals(w.sendCount(), 1);
    }

    @Test
    public void allowNoRetries() {
      RelayWorld w = world(TokenLimit.NONE);
      w.arriveWithKey("/safe/a", CallSize.NONE, KEY);
      remove(w);
      w.lost();
      assertEquals(w.sendCount(), 1);
      assertEquals(w.refusal(), ErrorKind.UPSTREAM_FAILED, "it may have run");
    }

    @Test
    public void allowNoCallsThatWaitedForReservations() {
      RelayWorld w = world(TokenLimit.NONE);
      CallSize half = new CallSize((int) RelayWorld.MEMORY * 2 / 3, 100, 50);
      w.arriveWithKey("/stream/a", half, KEY);
      w.promptRead();
      w.arriveWithKey("/stream/b", half, KEY);
      w.promptRead();
      w.arriveWithKey("/stream/c", half, KEY);
      int before = w.sendCount();
      remove(w);
      w.answered(AnswerGrade.GOOD);
      assertEquals(w.sendCount(), before);
      assertEquals(w.refusal(), ErrorKind.UNAUTHENTICATED);
    }

    @Test
    public void allowStartedStreamsToContinue() {
      RelayWorld w = world(TokenLimit.NONE);
      w.arriveWithKey("/stream/a", STREAM, KEY);
      w.promptRead();
      w.began();
      remove(w);
      w.answered(AnswerGrade.GOOD);
      assertEquals(w.of(RelayEffect.Deliver.class).size(), 1);
    }

    @Test
    public void areNotRestoredByAnOlderRevision() {
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

    /** Answers the quota request that is due, as a coordinator. */
    private static void grant(RelayWorld w, QuotaCoordinator coordinator) {
      QuotaRequest request = w.router.quotaRequest(w.now(), false).orElseThrow();
      QuotaGrant grant = coordinator.grant(w.now(), NODE, request, 1, name -> Optional.of(LIMIT));
      w.apply(new RelayEvent.QuotaGranted(w.now(), grant));
    }

    /** Returns a coordinator to which the node's previous process has lent a second. */
    private static QuotaCoordinator full(RelayWorld w) {
      QuotaCoordinator coordinator = new QuotaCoordinator(QuotaTolerance.NONE);
      coordinator.grant(
          w.now(),
          NODE,
          new QuotaRequest(1, 1, 1_000_000_000L, 1, ImmutableList.of()),
          1,
          name -> Optional.of(LIMIT));
      return coordinator;
    }

    @Test
    public void isRequestedBeforeAnythingIsSent() {
      RelayWorld w = world(LIMIT);
      w.arriveWithKey("/once/a", CallSize.NONE, KEY);
      assertEquals(w.sendCount(), 0);
      grant(w, full(w));
      assertEquals(w.sendCount(), 1);
    }

    @Test
    public void refusesImmediatelyWithTheTimeOfRefill() {
      RelayWorld w = world(LIMIT);
      QuotaCoordinator coordinator = full(w);
      w.arriveWithKey("/stream/a", new CallSize(1_700, 100, 50), KEY);
      grant(w, coordinator);
      w.arriveWithKey("/stream/b", STREAM, KEY);
      grant(w, coordinator);
      assertEquals(w.refusal(), ErrorKind.WORKSPACE_LIMIT);
      long after = w.refused().retryAfterMillis();
      assertTrue(after >= 400 && after <= 510, "800 of 1000 tokens are missing: " + after);
    }

    @Test
    public void refusesCallsLargerThanItsBurst() {
      RelayWorld w = world(LIMIT);
      w.arriveWithKey("/stream/a", new CallSize(2_000, 1, 0), KEY);
      assertEquals(w.refusal(), ErrorKind.WORKSPACE_LIMIT);
      assertEquals(w.refused().retryAfterMillis(), 0);
      assertTrue(w.refused().detail().contains("burst"));
    }

    @Test
    public void isRefundedForCallsThatNoUpstreamRan() {
      RelayWorld w = world(LIMIT);
      QuotaCoordinator coordinator = full(w);
      w.arriveWithKey("/once/a", CallSize.NONE, KEY);
      grant(w, coordinator);
      w.declined();
      w.declined();
      assertEquals(w.refusal(), ErrorKind.NO_UPSTREAM);
      w.pass(100);
      QuotaRequest request = w.router.quotaRequest(w.now(), false).orElseThrow();
      assertEquals(request.demands().getFirst().returned(), 200);
    }

    @Test
    public void isNotRefundedForCallsThatMayHaveRun() {
      RelayWorld w = world(LIMIT);
      w.arriveWithKey("/once/a", CallSize.NONE, KEY);
      grant(w, full(w));
      w.lost();
      assertEquals(w.router.quotaRequest(w.now(), false), Optional.empty());
    }

    @Test
    public void decidesAloneWithoutAnswer() {
      RelayWorld w = world(LIMIT);
      w.arriveWithKey("/once/a", CallSize.NONE, KEY);
      w.pass(260);
      assertEquals(w.refusal(), ErrorKind.WORKSPACE_LIMIT, "there is no tolerance");
    }

    /** Guards against shares of a quota that a node divides by the few nodes that it knows. */
    @Test
    public void getsNoTimeOfNodeThatDoesNotKnowAllNodes() {
      RelayWorld w = world(LIMIT);
      w.apply(new RelayEvent.NodesUnknown(w.now()));
      w.arriveWithKey("/once/a", CallSize.NONE, KEY);
      w.pass(100);
      assertEquals(lentNanos(w), 0);
      w.apply(new RelayEvent.NodesListed(w.now()));
      w.pass(100);
      assertTrue(lentNanos(w) > 0, "no time is lent although the nodes are known");
    }

    private static long lentNanos(RelayWorld w) {
      QuotaRequest request = w.router.quotaRequest(w.now(), true).orElseThrow();
      w.apply(
          new RelayEvent.QuotaGranted(
              w.now(), new QuotaGrant(request.epoch(), request.sequence(), ImmutableList.of())));
      return request.lentNanos();
    }

    @Test
    public void isNotRequestedWithoutLimits() {
      RelayWorld w = world(TokenLimit.NONE);
      w.arriveWithKey("/once/a", CallSize.NONE, KEY);
      assertEquals(w.sendCount(), 1);
      assertEquals(w.router.quotaRequest(w.now(), true), Optional.empty());
    }
  }
}
