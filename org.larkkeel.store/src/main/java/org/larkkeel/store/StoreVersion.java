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
 * A version of a store that may be restored from a backup.
 *
 * <p>Each restore begins a new era: version numbers go back and are assigned again to other states,
 * so that a number is meaningful only within its era. Versions are ordered by era, then by number.
 * Immutable.
 *
 * @param era the number of the era, which grows with each restore of the store; 0 if the store does
 *     not state it
 * @param number the number within the era, which grows with each change
 * @since 0.1
 */
public record StoreVersion(long era, long number) implements Comparable<StoreVersion> {
  /** The lowest version, which precedes every change. */
  public static final StoreVersion NONE = new StoreVersion(0, 0);

  private static final Pattern TEXT = Pattern.compile("([0-9]{1,18})\\.([0-9]{1,18})");

  private static final Comparator<StoreVersion> ORDER =
      Comparator.comparingLong(StoreVersion::era).thenComparingLong(StoreVersion::number);

  /** Returns whether this is {@link #NONE}. */
  public boolean isNone() {
    return equals(NONE);
  }

  /** Returns whether this version is later than another. */
  public boolean isAfter(StoreVersion other) {
    return compareTo(other) > 0;
  }

  /** Returns whether both versions are of the same era, so that their numbers can be compared. */
  public boolean isSameEraAs(StoreVersion other) {
    return era == other.era;
  }

  /** Returns the next version of the same era. */
  public StoreVersion next() {
    return new StoreVersion(era, number + 1);
  }

  /** Returns the later of two versions. */
  public static StoreVersion max(StoreVersion a, StoreVersion b) {
    return a.isAfter(b) ? a : b;
  }

  /** Returns the earlier of two versions. */
  public static StoreVersion min(StoreVersion a, StoreVersion b) {
    return a.isAfter(b) ? b : a;
  }

  /**
   * Parses the output of {@link #toString}; returns {@link #NONE} if the text has another syntax.
   */
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
