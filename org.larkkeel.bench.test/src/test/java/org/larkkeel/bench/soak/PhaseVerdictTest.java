/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.soak;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableSet;
import org.larkkeel.bench.demo.RemoteLoad;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link PhaseVerdict}. */
public class PhaseVerdictTest {
  private static final String ONCE = "{\"order-1\": 1}";

  private static RemoteLoad.Result result(
      long answered, long wrong, long lost, long unreached, long broken, long refusedRepeatable) {
    return new RemoteLoad.Result(
        10,
        answered,
        1,
        wrong,
        lost,
        unreached,
        broken,
        refusedRepeatable,
        0,
        ImmutableSet.of("order-2"),
        "");
  }

  /** Checks the conditions under which a phase passes. */
  public static class Passed {
    /**
     * Returns the callers' counts, the runs of the service, the options uncut and unaffected, and
     * the expected result.
     */
    @DataProvider
    public Object[][] phases() {
      return new Object[][] {
        {result(9, 0, 0, 0, 0, 0), ONCE, true, true, true},
        {result(8, 1, 0, 0, 0, 0), ONCE, false, false, false},
        {result(8, 0, 1, 0, 0, 0), ONCE, false, false, false},
        {result(8, 0, 0, 0, 0, 0), ONCE, false, false, false},
        {result(9, 0, 0, 0, 0, 0), "{\"order-1\": 2}", false, false, false},
        {result(9, 0, 0, 0, 0, 0), "{\"order-2\": 1}", false, false, false},
        {result(9, 0, 0, 0, 1, 0), ONCE, false, true, true},
        {result(9, 0, 0, 0, 1, 0), ONCE, true, false, false},
        {result(9, 0, 0, 1, 0, 0), ONCE, true, false, false},
        {result(9, 0, 0, 0, 0, 1), ONCE, true, false, true},
        {result(9, 0, 0, 0, 0, 1), ONCE, false, true, false},
      };
    }

    @Test(dataProvider = "phases")
    public void onlyIfAllConditionsHold(
        RemoteLoad.Result result, String runs, boolean uncut, boolean unaffected, boolean passed)
        throws Exception {
      PhaseVerdict verdict = PhaseVerdict.of(result, new ObjectMapper().readTree(runs));
      assertEquals(verdict.passed(uncut, unaffected), passed);
    }
  }
}
