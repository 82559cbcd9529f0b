/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.larkkeel.store.internal.http.ElementScanner.FieldNames;
import org.larkkeel.store.internal.http.ElementScanner.Outline;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the search for elements in lists that cannot be read as trees. */
public class ElementScannerTest {
  private static final FieldNames NAMES = new FieldNames("thing", "about", "called");

  private static ElementScanner scanner(String list) {
    return new ElementScanner(list, list.length(), NAMES);
  }

  /** Elements whose tokens are valid. */
  public static class Outlines {
    @DataProvider
    static Object[][] elements() {
      return new Object[][] {
        {"{\"about\":{\"called\":\"a\"}}", "a"},
        {"{\"thing\":{\"about\":{\"called\":\"a\"}}}", "a"},
        {"{\"other\":{\"about\":{\"called\":\"a\"}}}", ""},
        {"{\"about\":{\"called\":\"no name\"}}", ""},
        {"{\"about\":{\"called\":7}}", ""},
        {"[[]]", ""},
      };
    }

    @Test(dataProvider = "elements")
    public void haveTheNameOfTheirObject(String element, String name) {
      assertEquals(
          scanner(element + " ,{}").outlineAt(0), Optional.of(new Outline(element.length(), name)));
    }

    @Test
    public void spanNestingThatNoTreeIsReadOf() {
      String element = "{\"about\":{\"called\":\"a\"},\"x\":" + "[".repeat(100_000);
      element += "]".repeat(100_000) + "}";
      assertEquals(scanner(element).outlineAt(0), Optional.of(new Outline(element.length(), "a")));
    }

    @DataProvider
    static Object[][] malformed() {
      return new Object[][] {{"{\"about\":"}, {"{\"about\":}"}, {"{} {}"}, {"{}x"}};
    }

    @Test(dataProvider = "malformed")
    public void areAbsentIfTheElementIsMalformed(String list) {
      assertEquals(scanner(list).outlineAt(0), Optional.empty());
    }
  }

  /** Elements after malformed text. */
  public static class NextElements {
    @DataProvider
    static Object[][] malformed() {
      return new Object[][] {{"{\"about\":}"}, {"{"}, {"x"}, {"{\"a\":1,{\"b\":2}"}, {"{\"x"}};
    }

    @Test(dataProvider = "malformed")
    public void areFoundAfterComma(String piece) {
      String list = piece + ", {\"about\":{\"called\":\"a\"}}";
      assertEquals(scanner(list).nextElementAfter(0), piece.length() + 2);
    }

    @Test
    public void arePastTheEndIfThereIsNone() {
      String list = "x, {\"other\":1}, 7";
      assertTrue(scanner(list).nextElementAfter(0) > list.length());
    }
  }
}
