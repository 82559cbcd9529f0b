/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.selector;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link Selector#parse}. */
public class SelectorParserTest {
  private static final long SEED = 7;
  private static final int ROUNDS = 200_000;
  private static final String[] PIECES = {
    "role", "gen", "in", "notin", "a", "b-1", "x/y", "=", "==", "!=", "!", "(", ")", ",", " ", "-",
    ".", "\t", "é", "", "\u0000", "in(", "=a", "(a,b)"
  };

  private SelectorParserTest() {}

  private static String randomText(Random random) {
    StringBuilder text = new StringBuilder();
    int length = random.nextInt(9);
    for (int i = 0; i < length; i++) {
      text.append(PIECES[random.nextInt(PIECES.length)]);
    }
    return text.toString();
  }

  /** Random texts from a fixed seed, of which a part is valid. */
  public static class Fuzz {
    @Test
    public void everyTextIsRejectedWithPositionOrReadsBackEqual() {
      Random random = new Random(SEED);
      int accepted = 0;
      for (int i = 0; i < ROUNDS; i++) {
        accepted += check(randomText(random)) ? 1 : 0;
      }
      assertTrue(accepted > ROUNDS / 50 && accepted < ROUNDS / 2, "accepted " + accepted);
    }

    private static boolean check(String text) {
      Selector selector;
      try {
        selector = Selector.parse(text);
      } catch (SelectorSyntaxException e) {
        assertTrue(e.position() >= 0 && e.position() <= text.length(), text);
        return false;
      }
      assertEquals(Selector.parse(selector.toString()), selector, text);
      return true;
    }
  }

  /** Malformed selectors. */
  public static class Malformed {
    /** The text, the offset of the error and what is expected there. */
    @DataProvider
    public Object[][] malformedSelectors() {
      return new Object[][] {
        {"a=", 2, "a label value"},
        {"a in b", 5, "'('"},
        {"a in (b", 7, "')'"},
        {"a in ()", 6, "a label value"},
        {"a,", 2, "a label key"},
        {"a b", 2, "=, !=, in, notin or a comma"},
        {"a=b c", 4, "','"},
        {"!", 1, "a label key"},
        {"a!b", 2, "'='"},
      };
    }

    @Test(dataProvider = "malformedSelectors")
    public void syntaxErrorNamesPositionAndExpectedText(
        String text, int position, String expected) {
      SelectorSyntaxException e =
          expectThrows(SelectorSyntaxException.class, () -> Selector.parse(text));
      assertEquals(e.position(), position);
      assertEquals(e.expected(), expected);
    }
  }
}
