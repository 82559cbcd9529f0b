/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import static org.testng.Assert.assertEquals;

import io.undertow.util.HeaderMap;
import org.larkkeel.http.relay.AnswerVerdict;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What runners' answers mean. */
public class PlatformDialectTest {
  /** The verdict on the head of an answer. */
  public static class Verdict {
    /** Status, whether the runner's signature and its not-run header are there, and the verdict. */
    @DataProvider
    public static Object[][] heads() {
      return new Object[][] {
        {200, true, false, AnswerVerdict.GOOD},
        {404, true, false, AnswerVerdict.REJECTED},
        {500, true, false, AnswerVerdict.FAILED},
        {503, true, false, AnswerVerdict.UNUSABLE},
        {503, true, true, AnswerVerdict.NOT_RUN},
        {429, false, true, AnswerVerdict.NOT_RUN},
        {200, false, false, AnswerVerdict.UNUSABLE},
        {421, false, false, AnswerVerdict.WRONG_UPSTREAM},
        {421, false, true, AnswerVerdict.WRONG_UPSTREAM},
      };
    }

    @Test(dataProvider = "heads")
    public void followsFromStatusAndHeaders(
        int status, boolean signed, boolean notRun, AnswerVerdict expected) {
      HeaderMap headers = new HeaderMap();
      headers.put(PlatformNames.REQUEST_ID, "a");
      if (signed) {
        headers.put(PlatformNames.STAMP, "s");
      }
      if (notRun) {
        headers.put(PlatformNames.NOT_RUN, "1");
      }
      assertEquals(
          new PlatformDialect().verdict("a", new Purpose.Run(), status, headers), expected);
    }

    @Test
    public void isUnusableForAnotherRequest() {
      HeaderMap headers = new HeaderMap();
      headers.put(PlatformNames.REQUEST_ID, "b");
      headers.put(PlatformNames.STAMP, "s");
      assertEquals(
          new PlatformDialect().verdict("a", new Purpose.Run(), 200, headers),
          AnswerVerdict.UNUSABLE);
    }
  }
}
