/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

/**
 * The reason why an entry of the store cannot be read.
 *
 * <p>Invariant: {@code found} comes from other writers, so it is truncated to {@value
 * #MAX_FOUND_CHARS} characters and contains only printable ASCII characters other than the double
 * quote; it can be written to a log line without escaping. Immutable and thread-safe.
 *
 * @param reason the kind of problem, used as a metric label, never null
 * @param field the field that cannot be read, never null
 * @param found the value that was found, never null
 * @param expected the expected value or syntax, never null
 * @since 0.1
 */
public record EntryProblem(Reason reason, String field, String found, String expected) {
  /** The maximum number of characters kept of the value that was found. */
  public static final int MAX_FOUND_CHARS = 64;

  private static final String ELLIPSIS = "...";

  /** The kinds of problems. */
  public enum Reason {
    /** The field is missing. */
    MISSING,
    /** The field has another type. */
    WRONG_TYPE,
    /** A number or a port is out of bounds. */
    OUT_OF_RANGE,
    /** The value is not one of the values that the field allows. */
    UNKNOWN_WORD,
    /** The text does not match the field's syntax. */
    MALFORMED,
    /** The entry is not valid JSON. */
    NO_JSON,
    /** The service is not defined in the current configuration. */
    UNNAMED_SERVICE
  }

  /** Truncates and cleans {@code found} for log lines. */
  public EntryProblem {
    found = printable(found);
  }

  /**
   * Returns a text of another writer, truncated and with unprintable characters replaced by {@code
   * ?}, for a log line.
   */
  public static String printable(String text) {
    boolean isLong = text.length() > MAX_FOUND_CHARS;
    String kept = isLong ? text.substring(0, MAX_FOUND_CHARS - ELLIPSIS.length()) : text;
    StringBuilder s = new StringBuilder(kept.length());
    kept.chars().forEach(c -> s.append(isPrintable(c) ? (char) c : '?'));
    return isLong ? s.append(ELLIPSIS).toString() : s.toString();
  }

  private static boolean isPrintable(int c) {
    return c >= ' ' && c < 0x7f && c != '"';
  }
}
