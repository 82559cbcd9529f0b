/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

/**
 * Why an entry of the store can not be read.
 *
 * <p>Invariant: {@code found} comes from other writers, so it is cut to {@value #MAX_FOUND}
 * characters and holds printable characters other than the double quote only; a log line can show
 * it as it is. Immutable and safe for use by several threads.
 *
 * @param reason the kind of fault, for counting, never null
 * @param field the field that can not be read, never null
 * @param found what stands there, never null
 * @param expected what should stand there, never null
 * @since 0.1
 */
public record EntryProblem(Reason reason, String field, String found, String expected) {
  /** The most characters of what was found that are kept. */
  public static final int MAX_FOUND = 64;

  private static final String CUT = "...";

  /** The closed list of faults. */
  public enum Reason {
    /** The field is not there. */
    MISSING,
    /** The field has another type. */
    WRONG_TYPE,
    /** A number or a port beyond its bounds. */
    OUT_OF_RANGE,
    /** A word that is not in the field's closed set. */
    UNKNOWN_WORD,
    /** A text that is not in the field's syntax. */
    MALFORMED,
    /** The bytes of the entry are no JSON. */
    NO_JSON,
    /** A service that the configuration in force does not name. */
    UNNAMED_SERVICE
  }

  /** Makes what was found fit for a log line. */
  public EntryProblem {
    found = printable(found);
  }

  /** A text of another writer as a log line can show it. */
  public static String printable(String text) {
    boolean isLong = text.length() > MAX_FOUND;
    String kept = isLong ? text.substring(0, MAX_FOUND - CUT.length()) : text;
    StringBuilder s = new StringBuilder(kept.length());
    kept.chars().forEach(c -> s.append(isPrintable(c) ? (char) c : '?'));
    return isLong ? s.append(CUT).toString() : s.toString();
  }

  private static boolean isPrintable(int c) {
    return c >= ' ' && c < 0x7f && c != '"';
  }
}
