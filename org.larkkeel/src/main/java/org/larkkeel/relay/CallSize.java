/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * The size of a generation in tokens, as declared by the caller; all 0 for other calls.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param prompt the number of tokens of the prompt
 * @param maxOutput the maximum number of tokens to generate
 * @param expectedOutput the caller's estimate of the number of generated tokens; 0 if it gives none
 * @since 0.1
 */
public record CallSize(int prompt, int maxOutput, int expectedOutput) {
  /** The size of a call that generates nothing. */
  public static final CallSize NONE = new CallSize(0, 0, 0);
}
