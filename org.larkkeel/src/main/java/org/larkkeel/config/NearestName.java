/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import java.util.Collection;
import java.util.Optional;

/**
 * Finds the existing name that is most similar to a misspelt one, for error messages.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class NearestName {
  private static final int MAX_DISTANCE = 3;

  private NearestName() {}

  /**
   * Finds the candidate with the smallest edit distance, ignoring case.
   *
   * @param name the misspelt name
   * @param candidates the existing names
   * @return the most similar candidate; empty if each needs more than three edits, or more than
   *     half the length of a name under six characters
   */
  public static Optional<String> find(String name, Collection<String> candidates) {
    String best = null;
    int bestDistance = Math.min(MAX_DISTANCE, Math.max(1, name.length() / 2)) + 1;
    for (String candidate : candidates) {
      int distance = editDistance(name, candidate);
      if (distance < bestDistance) {
        best = candidate;
        bestDistance = distance;
      }
    }
    return Optional.ofNullable(best);
  }

  private static int editDistance(String a, String b) {
    int[] previousRow = new int[b.length() + 1];
    for (int j = 0; j <= b.length(); j++) {
      previousRow[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      int[] currentRow = new int[b.length() + 1];
      currentRow[0] = i;
      for (int j = 1; j <= b.length(); j++) {
        int substitutionCost =
            previousRow[j - 1] + (equalsIgnoringCase(a.charAt(i - 1), b.charAt(j - 1)) ? 0 : 1);
        currentRow[j] = Math.min(substitutionCost, Math.min(previousRow[j], currentRow[j - 1]) + 1);
      }
      previousRow = currentRow;
    }
    return previousRow[b.length()];
  }

  private static boolean equalsIgnoringCase(char a, char b) {
    return Character.toLowerCase(a) == Character.toLowerCase(b);
  }
}
