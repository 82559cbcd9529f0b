/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

import static org.testng.Assert.assertEquals;

import java.util.SplittableRandom;
import java.util.regex.Pattern;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the syntax of names. */
public class NamesTest {
  /** Example texts, and whether they are valid names. */
  public static class Examples {
    @DataProvider
    static Object[][] texts() {
      return new Object[][] {
        {"", false},
        {"a", true},
        {"-", false},
        {"a-", false},
        {".a", false},
        {"a..b", true},
        {"a/b_c.d-9", true},
        {"a b", false},
        {"a\n", false},
        {"äb", false},
        {"a٠b", false},
        {"a".repeat(Names.MAX_LENGTH), true},
        {"a".repeat(Names.MAX_LENGTH + 1), false},
      };
    }

    @Test(dataProvider = "texts")
    public void areNamesOrNot(String text, boolean isName) {
      assertEquals(Names.isValid(text), isName);
    }
  }

  /** Random texts, compared with the regular expression that defines the syntax. */
  public static class Random {
    private static final Pattern SYNTAX =
        Pattern.compile("[A-Za-z0-9]([A-Za-z0-9._/-]*[A-Za-z0-9])?");
    private static final String ALPHABET = "azAZ09._/-@[`{:é \n";

    @Test
    public void matchTheExpression() {
      SplittableRandom random = new SplittableRandom(1);
      int names = 0;
      for (int i = 0; i < 100_000; i++) {
        StringBuilder text = new StringBuilder();
        for (int n = random.nextInt(6); n > 0; n--) {
          text.append(ALPHABET.charAt(random.nextInt(ALPHABET.length())));
        }
        boolean expected = SYNTAX.matcher(text).matches();
        names += expected ? 1 : 0;
        assertEquals(Names.isValid(text.toString()), expected, "\"" + text + "\"");
      }
      assertEquals(names > 5_000, true, "valid names among the random texts: " + names);
    }
  }
}
