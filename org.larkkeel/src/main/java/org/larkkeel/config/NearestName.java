/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import java.util.Collection;
import java.util.Optional;

/**
 * Finds the name that was probably meant.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class NearestName {
  private static final int MAX_DISTANCE = 3;

  private NearestName() {}

  /**
   * Finds the candidate with the smallest edit distance.
   *
   * @param name what was written
   * @param candidates the names that exist
   * @return the nearest, empty if none is near
   */
  public static Optional<String> find(String name, Collection<String> candidates) {
    String best = null;
    int bestDistance = Math.min(MAX_DISTANCE, Math.max(1, name.length() / 2)) + 1;
    for (String candidate : candidates) {
      int distance = distance(name, candidate);
      if (distance < bestDistance) {
        best = candidate;
        bestDistance = distance;
      }
    }
    return Optional.ofNullable(best);
  }

  private static int distance(String a, String b) {
    int[] previous = new int[b.length() + 1];
    for (int j = 0; j <= b.length(); j++) {
      previous[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      int[] current = new int[b.length() + 1];
      current[0] = i;
      for (int j = 1; j <= b.length(); j++) {
        int replace = previous[j - 1] + (same(a.charAt(i - 1), b.charAt(j - 1)) ? 0 : 1);
        current[j] = Math.min(replace, Math.min(previous[j], current[j - 1]) + 1);
      }
      previous = current;
    }
    return previous[b.length()];
  }

  private static boolean same(char a, char b) {
    return Character.toLowerCase(a) == Character.toLowerCase(b);
  }
}
