/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.util.Comparator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A place in the history of a store that may come back from a copy.
 *
 * <p>Each time that it does, a new era begins: versions go back and are given out again for other
 * states, so that a number means nothing without its era. The order is that of history. Immutable.
 *
 * @param era grows each time that the store comes back from a copy; 0 if it never says so
 * @param number grows with each change of an era
 * @since 0.1
 */
public record StoreVersion(long era, long number) implements Comparable<StoreVersion> {
  /** Before all others. */
  public static final StoreVersion NONE = new StoreVersion(0, 0);

  private static final Pattern TEXT = Pattern.compile("([0-9]{1,18})\\.([0-9]{1,18})");

  private static final Comparator<StoreVersion> ORDER =
      Comparator.comparingLong(StoreVersion::era).thenComparingLong(StoreVersion::number);

  /** Whether it is that before all others. */
  public boolean isNone() {
    return equals(NONE);
  }

  /** Whether it comes after another. */
  public boolean isAfter(StoreVersion other) {
    return compareTo(other) > 0;
  }

  /** Whether both are of one era, so that their numbers can be compared. */
  public boolean isOfEraOf(StoreVersion other) {
    return era == other.era;
  }

  /** The next one of its era. */
  public StoreVersion next() {
    return new StoreVersion(era, number + 1);
  }

  /** The later of two. */
  public static StoreVersion max(StoreVersion a, StoreVersion b) {
    return a.isAfter(b) ? a : b;
  }

  /** The earlier of two. */
  public static StoreVersion min(StoreVersion a, StoreVersion b) {
    return a.isAfter(b) ? b : a;
  }

  /** Reads what {@link #toString} has written; {@link #NONE} if it is nothing of the kind. */
  public static StoreVersion parse(String text) {
    Matcher m = TEXT.matcher(text);
    return m.matches()
        ? new StoreVersion(Long.parseLong(m.group(1)), Long.parseLong(m.group(2)))
        : NONE;
  }

  @Override
  public int compareTo(StoreVersion other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return era + "." + number;
  }
}
