/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

import org.larkkeel.lib.AttemptId;
import org.larkkeel.store.log.WriterId;

/**
 * The ID of one attempt to run a request. The node that runs the request chooses the token, so that
 * it can repeat the claim if the response to it is lost.
 *
 * <p>Invariant: a node never uses an attempt twice. Immutable.
 *
 * @param claimant the incarnation of the process that runs the request, never null
 * @param attempt the number of this attempt among those of the claimant, never null
 * @since 0.1
 */
public record RunToken(WriterId claimant, AttemptId attempt) {
  private static final char SEPARATOR = '/';

  /**
   * Parses the text form.
   *
   * @param text a result of {@link #toString}
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
