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
import org.larkkeel.lib.RequestId;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.testng.annotations.Test;

/** Tests how the router applies the request rate limits that upstreams announce. */
public class RateLimitTest {
  private static final CallSize SMALL = new CallSize(2_000, 1_000, 1_000);

  private static List<RelayEffect.Send> sends(RelayWorld w, String upstream) {
    return w.of(RelayEffect.Send.class).stream()
        .filter(s -> s.upstream().name().value().equals(upstream))
        .toList();
  }

  /** Requests to an upstream with a rate limit. */
  public static class Requests extends RateLimitTest {
    @Test
    public void useAnotherUpstreamWithoutPermit() {
      RelayWorld w = RelayWorld.withDefaults();
      w.receiveRateLimit("app-1", 2);
      for (int i = 0; i < 20; i++) {
        w.arrive("/once/a");
      }
      assertEquals(sends(w, "app-1").size(), 0);
      assertEquals(sends(w, "app-2").size(), 20);
    }

    @Test
    public void takeOnePermitEach() {
      RelayWorld w = RelayWorld.withDefaults();
      w.receiveRateLimit("app-1", 2);
      w.receiveRateLimit("app-2", 2);
      w.arrive("/once/a");
      w.answerQuotaRequest();
      final int granted = w.sendCount();
      for (int i = 0; i < 50; i++) {
        w.arrive("/once/a");
        w.passCoordinated(100);
      }
      int sent = w.sendCount() - granted;
      assertTrue(sent <= 2 * (2 * 5 + 3), sent + " requests in 5 s at 2 a second each");
      assertTrue(sent >= 2 * 2 * 4, sent + " requests in 5 s at 2 a second each");
    }

    @Test
    public void forPrefillsNeedPermits() {
      RelayWorld w = RelayWorld.withDefaults();
      w.receiveRateLimit("read-1", 0.01);
      w.arrive("/stream/a", 14_000, SMALL);
      assertFalse(w.sent().purpose() instanceof Purpose.ReadPrompt);
    }

    @Test
    public void areNotSentToReservedUpstreamWithoutPermit() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/stream/a", 14_000, SMALL);
      w.receiveRateLimit("run-1", 0.01);
      w.promptRead();
      assertEquals(w.sent().upstream().name().value(), "run-2");
    }

    @Test
    public void forMovesNeedPermits() {
      RelayWorld w = RelayWorld.withDefaults();
      w.arrive("/resume/a", 14_000, SMALL);
      w.promptRead();
      w.began();
      String reserved = w.sent().upstream().name().value();
      w.receiveRateLimit(reserved, 0.01);
      w.leave(reserved);
      w.pass(3_000);
      assertEquals(w.of(RelayEffect.Move.class).size(), 0);
    }

    @Test
    public void areAcceptedOnceTheyHaveTheirPermit() {
      RelayWorld w = RelayWorld.withDefaults();
      w.receiveRateLimit("app-1", 2);
      assertTrue(w.router.acceptsRequests(w.now(), RelayWorld.incarnation("app-1")));
    }
  }

  /** Callers whose upstreams have all reached their limits. */
  public static class Callers extends RateLimitTest {
    private static RelayWorld limited(double perSecond) {
      RelayWorld w = RelayWorld.withDefaults();
      w.receiveRateLimit("app-1", perSecond);
      w.receiveRateLimit("app-2", perSecond);
      return w;
    }

    @Test
    public void waitForPermitThatComesSoon() {
      RelayWorld w = limited(20);
      w.arrive("/once/a");
      assertEquals(w.sendCount(), 0);
      w.passCoordinated(100);
      assertEquals(w.sendCount(), 1);
    }

    @Test
    public void continueImmediatelyWhenTheLimitEnds() {
      RelayWorld w = limited(0.1);
      w.arrive("/once/a");
      assertEquals(w.sendCount(), 0);
      w.pass(10);
      w.apply(
          new RelayEvent.Noticed(
              w.now(),
              RelayWorld.incarnation("app-1"),
              w.now(),
              new UpstreamNotice(false, 0, new RateLimitNotice.Unlimited())));
      assertEquals(w.sendCount(), 1);
    }

    @Test
    public void areRefusedImmediatelyIfNoPermitIsAvailableInTime() {
      RelayWorld w = limited(0.1);
      for (int i = 0; i < 10; i++) {
        w.arrive("/once/a");
        w.answerQuotaRequest();
      }
      assertTrue(w.isRefused());
      assertEquals(w.refusal(), ErrorKind.OVERLOADED);
      assertTrue(w.refused().retryAfterMillis() >= 1_000, w.refused().toString());
    }

    @Test
    public void areRefusedWithoutAnswerOfTheCoordinator() {
      RelayWorld w = limited(0.1);
      RequestId call = w.arrive("/once/a");
      w.pass(200);
      assertTrue(w.isRefused());
      assertEquals(w.refused().call(), call);
    }
  }

  /** The exchange of rate limits between nodes. */
  public static class Reports extends RateLimitTest {
    private static void receive(RelayWorld w, Optional<RequestRate> limit, long ageMillis) {
      RateLimitReport report =
          new RateLimitReport(RelayWorld.incarnation("app-1"), limit, ageMillis * RelayWorld.MILLI);
      w.apply(new RelayEvent.RatesHeard(w.now(), ImmutableList.of(report)));
    }

    private static boolean isLimited(RelayWorld w) {
      return w.router.isRateLimited(RelayWorld.incarnation("app-1"));
    }

    @Test
    public void applyToNodesThatHadNoAnswer() {
      RelayWorld w = RelayWorld.withDefaults();
      receive(w, Optional.of(RequestRate.perSecond(1)), 20);
      w.arrive("/once/a");
      assertEquals(w.sent().upstream().name().value(), "app-2");
    }

    @Test
    public void areForwarded() {
      RelayWorld w = RelayWorld.withDefaults();
      receive(w, Optional.of(RequestRate.perSecond(1)), 20);
      w.pass(100);
      RateLimitReport report = w.router.rateLimitReports(w.now()).getFirst();
      assertEquals(report.limit(), Optional.of(RequestRate.perSecond(1)));
      assertEquals(report.ageNanos(), 120 * RelayWorld.MILLI);
    }

    @Test
    public void olderThanTheEndOfTheLimitDoNotRestoreIt() {
      RelayWorld w = RelayWorld.withDefaults();
      w.receiveRateLimit("app-1", 1);
      w.pass(100);
      w.apply(
          new RelayEvent.Noticed(
              w.now(),
              RelayWorld.incarnation("app-1"),
              w.now(),
              new UpstreamNotice(false, 0, new RateLimitNotice.Unlimited())));
      receive(w, Optional.of(RequestRate.perSecond(1)), 50);
      assertEquals(w.router.rateLimitReports(w.now()).getFirst().limit(), Optional.empty());
    }

    @Test
    public void ofTheEndDoNotRemoveLimitThatMayBeNewer() {
      RelayWorld w = RelayWorld.withDefaults();
      w.receiveRateLimit("app-1", 1);
      w.pass(100);
      receive(w, Optional.empty(), 0);
      assertTrue(isLimited(w));
      w.pass(400);
      receive(w, Optional.empty(), 0);
      assertEquals(w.router.rateLimitReports(w.now()).getFirst().limit(), Optional.empty());
    }

    @Test
    public void areDroppedAfterRestart() {
      RelayWorld w = RelayWorld.withDefaults();
      w.receiveRateLimit("app-1", 1);
      w.restart("app-1", 5);
      assertEquals(w.router.rateLimitReports(w.now()), ImmutableList.of());
    }
  }
}
