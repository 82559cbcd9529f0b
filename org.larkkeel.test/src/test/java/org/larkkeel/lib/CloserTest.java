/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests of {@link Closer}. */
public class CloserTest {
  /** The order of closing. */
  public static class Order {
    @Test
    public void lastOpenedIsClosedFirstAndOnlyOnce() throws Exception {
      List<String> closed = new ArrayList<>();
      Closer closer = new Closer();
      closer.add(() -> closed.add("first"));
      closer.add(() -> closed.add("second"));
      closer.close();
      closer.close();
      assertEquals(closed, List.of("second", "first"));
    }
  }

  /** Failures of resources. */
  public static class Failures {
    @Test
    public void failureDoesNotPreventClosingAndSuppressesLaterOnes() {
      List<String> closed = new ArrayList<>();
      Closer closer = new Closer();
      closer.add(() -> closed.add("first"));
      closer.add(() -> fail("second"));
      closer.add(() -> fail("third"));
      IOException thrown = expectThrows(IOException.class, closer::close);
      assertEquals(closed, List.of("first"));
      assertEquals(thrown.getMessage(), "third");
      assertEquals(thrown.getSuppressed()[0].getMessage(), "second");
    }

    @Test
    public void lateResourceIsClosedAtOnce() throws Exception {
      List<String> closed = new ArrayList<>();
      Closer closer = new Closer();
      closer.close();
      assertThrows(IllegalStateException.class, () -> closer.add(() -> closed.add("late")));
      assertEquals(closed, List.of("late"));
    }

    private static void fail(String message) throws IOException {
      throw new IOException(message);
    }
  }
}
