/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableList;

/**
 * The named parts of a prompt, in their order.
 *
 * <p>Other prompts may begin with the same parts, except for the last one, which belongs to one
 * request and its retries. Immutable and safe for use by several threads.
 *
 * @param parts the parts; empty if the caller named none
 * @since 0.1
 */
public record Prompt(ImmutableList<PromptPart> parts) {
  /** The prompt of calls that do not name its parts. */
  public static final Prompt NONE = new Prompt(ImmutableList.of());

  /** Returns a prompt of which only the last part is known, or {@link #NONE}. */
  public static Prompt of(PromptKey key) {
    return key.isKnown() ? new Prompt(ImmutableList.of(new PromptPart(key.value()))) : Prompt.NONE;
  }

  /** Returns the key that identifies the last part; {@link PromptKey#NONE} if there is none. */
  public PromptKey key() {
    return parts.isEmpty() ? PromptKey.NONE : new PromptKey(parts.getLast().value());
  }

  /** Returns the parts that other requests may share, which are all but the last. */
  public ImmutableList<PromptPart> sharedParts() {
    return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
  }
}
