/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.larkkeel.relay.RateNotice;
import org.larkkeel.relay.RequestRate;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Which answer decides of the limit of an upstream, if answers overtake each other. */
public class RateBeliefTest {
  private RateBelief belief;

  /** Begins without a limit. */
  @BeforeMethod
  public void begin() {
    belief = new RateBelief();
  }

  private void named(long sentAt, long at, double perSecond) {
    belief.noticed(sentAt, at, new RateNotice.Limited(RequestRate.perSecond(perSecond)));
  }

  private void unlimited(long sentAt, long at) {
    belief.noticed(sentAt, at, new RateNotice.Unlimited());
  }

  private void assertLimit(double perSecond) {
    assertEquals(belief.limit(), Optional.of(RequestRate.perSecond(perSecond)));
  }

  /** Answers without a limit. */
  public static class End extends RateBeliefTest {
    @Test
    public void followsFromAnswerWhoseRequestWasSentAfterTheLastLimitWasHeard() {
      super.named(0, 10, 5);
      super.unlimited(10, 12);
      assertEquals(super.belief.limit(), Optional.empty());
    }

    @Test
    public void doesNotFollowFromAnswerThatWasOnItsWay() {
      super.named(0, 10, 5);
      super.unlimited(9, 12);
      super.assertLimit(5);
    }

    @Test
    public void doesNotLastIfAnotherLimitIsNamed() {
      super.named(0, 10, 5);
      super.unlimited(10, 12);
      super.named(11, 13, 3);
      super.assertLimit(3);
    }
  }

  /** Answers with other limits. */
  public static class Change extends RateBeliefTest {
    @Test
    public void isThatOfTheRequestThatWasSentLast() {
      super.named(0, 10, 5);
      super.named(1, 11, 8);
      super.assertLimit(8);
    }

    @Test
    public void isTheLowerOneOfAnswerThatCameLate() {
      super.named(5, 10, 5);
      super.named(1, 11, 8);
      super.assertLimit(5);
      super.named(2, 12, 3);
      super.assertLimit(3);
    }
  }
}
