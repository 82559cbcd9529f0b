/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

/**
 * A problem in a document or change.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param severity whether the document or change is refused for it
 * @param source the file or other origin; empty if unknown
 * @param position the position in the source; {@link Position#NONE} if unknown
 * @param path the path of the value in the document
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
   * Creates an error without a position.
   *
   * @param path the path of the value in the document
   * @param value the offending value
   * @param message what is wrong
   * @param remedy what to write instead
   * @return the problem
   */
  public static Problem error(JsonPath path, String value, String message, String remedy) {
    return new Problem(Severity.ERROR, "", Position.NONE, path, value, message, remedy);
  }

  /**
   * Creates a warning without a position.
   *
   * @param path the path of the value in the document
   * @param value the offending value
   * @param message what is wrong
   * @param remedy what to write instead
   * @return the problem
   */
  public static Problem warning(JsonPath path, String value, String message, String remedy) {
    return new Problem(Severity.WARNING, "", Position.NONE, path, value, message, remedy);
  }

  /**
   * Returns a copy with a position.
   *
   * @param newSource the file or other origin
   * @param newPosition the position in the source
   * @return the copy
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
