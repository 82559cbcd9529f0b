/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * What a crash suspect is. The narrower its scope, the fewer requests are refused while it is
 * quarantined.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface SuspectScope {
  /** The scope of a whole request. */
  SuspectScope REQUEST = new Request();

  /** One request, with all calls that repeat it. */
  record Request() implements SuspectScope {}

  /**
   * All requests of a service whose prompts have a part in common.
   *
   * @param position the smallest known position of the part in a prompt, from 0
   */
  record PromptPart(int position) implements SuspectScope {
    /**
     * Validates the position.
     *
     * @throws IllegalArgumentException if it is negative
     */
    public PromptPart {
      if (position < 0) {
        throw new IllegalArgumentException("the position " + position + " is negative: use 0");
      }
    }
  }

  /** Returns a number that is larger for a narrower scope. */
  default int narrowness() {
    return switch (this) {
      case PromptPart part -> part.position();
      case Request request -> Integer.MAX_VALUE;
    };
  }

  /**
   * Returns the scope that two nodes know together. A node that knows a part only by its
   * fingerprint takes it for a request.
   */
  default SuspectScope merge(SuspectScope other) {
    return narrowness() <= other.narrowness() ? this : other;
  }

  /** Returns the word for this scope in logs, metrics and commands. */
  default String word() {
    return switch (this) {
      case PromptPart part -> "prompt_part";
      case Request request -> "request";
    };
  }
}
