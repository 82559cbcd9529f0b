/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests rules whose durations are as long as a number can be. */
public class LongTimeoutsTest {
  private static final CallSize SIZE = new CallSize(1_000, 100, 50);

  private static RelayRule withDurations(RelayRule rule, long millis) {
    return new RelayRule(
        rule.name(),
        rule.host(),
        rule.prefix(),
        rule.split(),
        rule.kind(),
        millis,
        rule.maxRuns(),
        millis,
        millis,
        rule.priority(),
        rule.anonymous());
  }

  /** Returns calls of each kind. */
  @DataProvider
  static Object[][] paths() {
    return new Object[][] {{"/safe/a"}, {"/once/a"}, {"/stream/a"}, {"/resume/a"}};
  }

  /** Guards against calls that are refused at once, as their deadline overflowed. */
  @Test(dataProvider = "paths")
  public void callIsSentAndWaitsForItsAnswer(String path) {
    RelayWorld w = RelayWorld.withDefaults();
    w.configure(
        2,
        RelayWorld.rules().stream()
            .map(r -> withDurations(r, Long.MAX_VALUE))
            .collect(ImmutableList.toImmutableList()));
    w.arrive(path, 0, SIZE);
    assertEquals(w.of(RelayEffect.Send.class).size(), 1);
    w.pass(1_000);
    assertEquals(w.of(RelayEffect.Refuse.class).size(), 0);
  }
}
