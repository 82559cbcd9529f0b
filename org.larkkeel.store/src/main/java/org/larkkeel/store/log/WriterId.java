/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;

/**
 * One start of the process on one host. Immutable.
 *
 * @param host the host, never null
 * @param incarnation the start, never null
 * @since 0.1
 */
public record WriterId(HostName host, Incarnation incarnation) {
  private static final char SEPARATOR = '/';

  /**
   * Reads the text form.
   *
   * @param text what {@link #toString} returned
   * @return the id
   * @throws IllegalArgumentException if the text is malformed
   */
  public static WriterId parse(String text) {
    int i = text.lastIndexOf(SEPARATOR);
    if (i < 0) {
      throw new IllegalArgumentException(
          "the writer is \"" + text + "\": expected host/incarnation");
    }
    return new WriterId(
        new HostName(text.substring(0, i)), new Incarnation(Long.parseLong(text.substring(i + 1))));
  }

  @Override
  public String toString() {
    return host.value() + SEPARATOR + incarnation.value();
  }
}
