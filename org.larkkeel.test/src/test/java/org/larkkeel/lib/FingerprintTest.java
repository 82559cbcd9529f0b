/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;

import org.testng.annotations.Test;

/** Tests of {@link Fingerprint}. */
public class FingerprintTest {
  @Test
  public void isTheSameForTheSameParts() {
    assertEquals(Fingerprint.of("POST", "body"), Fingerprint.of("POST", "body"));
  }

  @Test
  public void dependsOnPartBoundaries() {
    assertNotEquals(Fingerprint.of("ab", "c"), Fingerprint.of("a", "bc"));
  }

  @Test
  public void roundTripsThroughText() {
    Fingerprint original = Fingerprint.of("x");
    assertEquals(Fingerprint.parse(original.toString()), original);
  }

  @Test
  public void rejectsInvalidTexts() {
    assertThrows(IllegalArgumentException.class, () -> Fingerprint.parse("12"));
    assertThrows(IllegalArgumentException.class, () -> Fingerprint.parse("z".repeat(32)));
  }
}
