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

/** What the router does with limits of requests that upstreams name. */
public class RateLimitTest {
  private static final CallSize SMALL = new CallSize(2_000, 1_000, 1_000);

  private static List<RelayEffect.Send> sends(RelayWorld w, String upstream) {
    return w.of(RelayEffect.Send.class).stream()
        .filter(s -> s.upstream().id().value().equals(upstream))
        .toList();
  }

  /** Requests to an upstream with a limit. */
  public static class Requests extends RateLimitTest {
    @Test
    public void goElsewhereWithoutPermit() {
      RelayWorld w = RelayWorld.usual();
      w.limit("app-1", 2);
      for (int i = 0; i < 20; i++) {
        w.arrive("/once/a");
      }
      assertEquals(sends(w, "app-1").size(), 0);
      assertEquals(sends(w, "app-2").size(), 20);
    }

    @Test
    public void takeOnePermitEach() {
      RelayWorld w = RelayWorld.usual();
      w.limit("app-1", 2);
      w.limit("app-2", 2);
      w.arrive("/once/a");
      w.coordinate();
      final int granted = w.sends();
      for (int i = 0; i < 50; i++) {
        w.arrive("/once/a");
        w.passCoordinated(100);
      }
      int sent = w.sends() - granted;
      assertTrue(sent <= 2 * (2 * 5 + 3), sent + " requests in 5 s at 2 a second each");
      assertTrue(sent >= 2 * 2 * 4, sent + " requests in 5 s at 2 a second each");
    }

    @Test
    public void toReadPromptsCountAsWell() {
      RelayWorld w = RelayWorld.usual();
      w.limit("read-1", 0.01);
      w.arrive("/stream/a", 14_000, SMALL);
      assertFalse(w.sent().purpose() instanceof Purpose.ReadPrompt);
    }

    @Test
    public void areNotSentToHomeWhosePermitWasTaken() {
      RelayWorld w = RelayWorld.usual();
      w.arrive("/stream/a", 14_000, SMALL);
      w.limit("run-1", 0.01);
      w.promptRead();
      assertEquals(w.sent().upstream().id().value(), "run-2");
    }

    @Test
    public void thatMoveRunsAreNotSent() {
      RelayWorld w = RelayWorld.usual();
      w.arrive("/resume/a", 14_000, SMALL);
      w.promptRead();
      w.began();
      String home = w.sent().upstream().id().value();
      w.limit(home, 0.01);
      w.leave(home);
      w.pass(3_000);
      assertEquals(w.of(RelayEffect.Move.class).size(), 0);
    }

    @Test
    public void mayBeSentOnceTheyHaveTheirPermit() {
      RelayWorld w = RelayWorld.usual();
      w.limit("app-1", 2);
      assertTrue(w.router.mayReach(w.now(), RelayWorld.life("app-1")));
    }
  }

  /** Callers whose upstreams have all used their limits up. */
  public static class Callers extends RateLimitTest {
    private static RelayWorld limited(double perSecond) {
      RelayWorld w = RelayWorld.usual();
      w.limit("app-1", perSecond);
      w.limit("app-2", perSecond);
      return w;
    }

    @Test
    public void waitForPermitThatComesSoon() {
      RelayWorld w = limited(20);
      w.arrive("/once/a");
      assertEquals(w.sends(), 0);
      w.passCoordinated(100);
      assertEquals(w.sends(), 1);
    }

    @Test
    public void goOnAtOnceWhenLimitEnds() {
      RelayWorld w = limited(0.1);
      w.arrive("/once/a");
      assertEquals(w.sends(), 0);
      w.pass(10);
      w.apply(
          new RelayEvent.Noticed(
              w.now(),
              RelayWorld.life("app-1"),
              w.now(),
              new UpstreamNotice(false, 0, new RateNotice.Unlimited())));
      assertEquals(w.sends(), 1);
    }

    @Test
    public void areToldAtOnceIfNoneComesInTime() {
      RelayWorld w = limited(0.1);
      for (int i = 0; i < 10; i++) {
        w.arrive("/once/a");
        w.coordinate();
      }
      assertTrue(w.isRefused());
      assertEquals(w.refusal(), ErrorKind.OVERLOADED);
      assertTrue(w.refused().retryAfterMillis() >= 1_000, w.refused().toString());
    }

    @Test
    public void areNotHeldWithoutAnswerOfTheCoordinator() {
      RelayWorld w = limited(0.1);
      RequestId call = w.arrive("/once/a");
      w.pass(200);
      assertTrue(w.isRefused());
      assertEquals(w.refused().call(), call);
    }
  }

  /** What nodes tell each other. */
  public static class Words extends RateLimitTest {
    private static void hear(RelayWorld w, Optional<RequestRate> limit, long ageMillis) {
      RateWord word = new RateWord(RelayWorld.life("app-1"), limit, ageMillis * RelayWorld.MILLI);
      w.apply(new RelayEvent.RatesHeard(w.now(), ImmutableList.of(word)));
    }

    private static boolean isLimited(RelayWorld w) {
      return w.router.isRateLimited(RelayWorld.life("app-1"));
    }

    @Test
    public void bindNodesThatHadNoAnswer() {
      RelayWorld w = RelayWorld.usual();
      hear(w, Optional.of(RequestRate.perSecond(1)), 20);
      w.arrive("/once/a");
      assertEquals(w.sent().upstream().id().value(), "app-2");
    }

    @Test
    public void areToldOn() {
      RelayWorld w = RelayWorld.usual();
      hear(w, Optional.of(RequestRate.perSecond(1)), 20);
      w.pass(100);
      RateWord word = w.router.rates(w.now()).getFirst();
      assertEquals(word.limit(), Optional.of(RequestRate.perSecond(1)));
      assertEquals(word.ageNanos(), 120 * RelayWorld.MILLI);
    }

    @Test
    public void thatAreOlderThanTheEndOfTheLimitDoNotBringItBack() {
      RelayWorld w = RelayWorld.usual();
      w.limit("app-1", 1);
      w.pass(100);
      w.apply(
          new RelayEvent.Noticed(
              w.now(),
              RelayWorld.life("app-1"),
              w.now(),
              new UpstreamNotice(false, 0, new RateNotice.Unlimited())));
      hear(w, Optional.of(RequestRate.perSecond(1)), 50);
      assertEquals(w.router.rates(w.now()).getFirst().limit(), Optional.empty());
    }

    @Test
    public void ofTheEndDoNotEndLimitThatMayBeNewer() {
      RelayWorld w = RelayWorld.usual();
      w.limit("app-1", 1);
      w.pass(100);
      hear(w, Optional.empty(), 0);
      assertTrue(isLimited(w));
      w.pass(400);
      hear(w, Optional.empty(), 0);
      assertEquals(w.router.rates(w.now()).getFirst().limit(), Optional.empty());
    }

    @Test
    public void areForgottenWithTheLife() {
      RelayWorld w = RelayWorld.usual();
      w.limit("app-1", 1);
      w.restart("app-1", 5);
      assertEquals(w.router.rates(w.now()), ImmutableList.of());
    }
  }
}
