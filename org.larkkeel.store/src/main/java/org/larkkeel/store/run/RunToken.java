/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

import org.larkkeel.lib.AttemptId;
import org.larkkeel.store.log.WriterId;

/**
 * Names one attempt to run a request. The node that wants to run it chooses the token, so that it
 * may ask again when an answer to its claim was lost on the way.
 *
 * <p>Invariant: a node never uses an attempt twice. Immutable.
 *
 * @param claimant the start of the process that runs the request, never null
 * @param attempt counts its attempts, never null
 * @since 0.1
 */
public record RunToken(WriterId claimant, AttemptId attempt) {
  private static final char SEPARATOR = '/';

  /**
   * Reads the text form.
   *
   * @param text what {@link #toString} returned
   * @return the token
   */
  public static RunToken parse(String text) {
    int i = text.lastIndexOf(SEPARATOR);
    return new RunToken(
        WriterId.parse(text.substring(0, i)), new AttemptId(Long.parseLong(text.substring(i + 1))));
  }

  @Override
  public String toString() {
    return claimant.toString() + SEPARATOR + attempt.value();
  }
}
