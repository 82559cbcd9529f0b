/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.larkkeel.relay.RateLimitNotice;
import org.larkkeel.relay.RequestRate;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which answer determines the rate limit of an upstream if answers overtake each other. */
public class RateLimitStateTest {
  private RateLimitState state;

  /** Creates a state without a limit. */
  @BeforeMethod
  public void createState() {
    state = new RateLimitState();
  }

  private void announceLimit(long sentAt, long at, double perSecond) {
    state.applyNotice(sentAt, at, new RateLimitNotice.Limited(RequestRate.perSecond(perSecond)));
  }

  private void announceNoLimit(long sentAt, long at) {
    state.applyNotice(sentAt, at, new RateLimitNotice.Unlimited());
  }

  private void assertLimit(double perSecond) {
    assertEquals(state.limit(), Optional.of(RequestRate.perSecond(perSecond)));
  }

  /**
   * Tests when an answer without a limit ends a limit; an answer composed before the limit must
   * not.
   */
  public static class LimitEnd extends RateLimitStateTest {
    @Test
    public void followsFromAnswerWhoseRequestWasSentAfterTheLastLimitWasReceived() {
      super.announceLimit(0, 10, 5);
      super.announceNoLimit(10, 12);
      assertEquals(super.state.limit(), Optional.empty());
    }

    @Test
    public void doesNotFollowFromAnswerWhoseRequestWasSentBeforeTheLastLimitWasReceived() {
      super.announceLimit(0, 10, 5);
      super.announceNoLimit(9, 12);
      super.assertLimit(5);
    }

    @Test
    public void doesNotLastIfAnotherLimitIsAnnounced() {
      super.announceLimit(0, 10, 5);
      super.announceNoLimit(10, 12);
      super.announceLimit(11, 13, 3);
      super.assertLimit(3);
    }
  }

  /** Tests which of several announced limits is in force. */
  public static class LimitChange extends RateLimitStateTest {
    @Test
    public void isThatOfTheRequestSentLast() {
      super.announceLimit(0, 10, 5);
      super.announceLimit(1, 11, 8);
      super.assertLimit(8);
    }

    @Test
    public void isTheLowerLimitIfAnAnswerArrivesLate() {
      super.announceLimit(5, 10, 5);
      super.announceLimit(1, 11, 8);
      super.assertLimit(5);
      super.announceLimit(2, 12, 3);
      super.assertLimit(3);
    }
  }
}
