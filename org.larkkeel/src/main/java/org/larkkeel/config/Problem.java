/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

/**
 * One thing that is wrong in a document or change.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param severity whether it leads to refusal
 * @param source the file or other origin; empty if unknown
 * @param position where in the source; {@link Position#NONE} if unknown
 * @param path where in the document
 * @param value the offending value as text; empty if there is none
 * @param message what is wrong
 * @param remedy what to write instead
 * @since 0.1
 */
public record Problem(
    Severity severity,
    String source,
    Position position,
    JsonPath path,
    String value,
    String message,
    String remedy) {

  /**
   * Makes an error without a place in a text.
   *
   * @param path where in the document
   * @param value the offending value
   * @param message what is wrong
   * @param remedy what to write instead
   * @return the problem
   */
  public static Problem error(JsonPath path, String value, String message, String remedy) {
    return new Problem(Severity.ERROR, "", Position.NONE, path, value, message, remedy);
  }

  /**
   * Makes a warning without a place in a text.
   *
   * @param path where in the document
   * @param value the offending value
   * @param message what is wrong
   * @param remedy what to write instead
   * @return the problem
   */
  public static Problem warning(JsonPath path, String value, String message, String remedy) {
    return new Problem(Severity.WARNING, "", Position.NONE, path, value, message, remedy);
  }

  /**
   * Adds the place in a text.
   *
   * @param newSource the file or other origin
   * @param newPosition the place
   * @return a copy with that place
   */
  public Problem at(String newSource, Position newPosition) {
    return new Problem(severity, newSource, newPosition, path, value, message, remedy);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    if (!source.isEmpty()) {
      text.append(source).append(':');
    }
    if (position.line() > 0) {
      text.append(position.line()).append(':').append(position.column()).append(':');
    }
    if (!text.isEmpty()) {
      text.append(' ');
    }
    text.append(severity == Severity.ERROR ? "error" : "warning").append(": ").append(path);
    if (!value.isEmpty()) {
      text.append(" = ").append(value);
    }
    return text.append(": ").append(message).append("; ").append(remedy).toString();
  }
}
