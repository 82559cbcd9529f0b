/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;

/**
 * One incarnation of the process on a host: one run from start to end. Immutable.
 *
 * @param host the host, never null
 * @param incarnation the incarnation, never null
 * @since 0.1
 */
public record WriterId(HostName host, Incarnation incarnation) {
  private static final char SEPARATOR = '/';

  /**
   * Parses the text form.
   *
   * @param text a result of {@link #toString}
   * @return the ID
   * @throws IllegalArgumentException if the text is malformed
   */
  public static WriterId parse(String text) {
    int i = text.lastIndexOf(SEPARATOR);
    if (i < 0) {
      throw new IllegalArgumentException(
          "writer ID \"" + text + "\" is malformed: expected host/incarnation");
    }
    return new WriterId(
        new HostName(text.substring(0, i)), new Incarnation(Long.parseLong(text.substring(i + 1))));
  }

  @Override
  public String toString() {
    return host.value() + SEPARATOR + incarnation.value();
  }
}
