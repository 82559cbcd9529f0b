/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import java.util.Optional;
import org.larkkeel.relay.CallSize;
import org.larkkeel.relay.CallerKey;
import org.larkkeel.relay.PromptKey;

/**
 * What a caller declares of its request.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param wireId what the caller calls it; empty if it has no id
 * @param deadlineMillis how long the caller waits; 0 if it does not say
 * @param size the size of its generation
 * @param prompt names its prompt
 * @param resumes whether it has had the beginning of its stream
 * @param key shows for which workspace it calls; empty if it has none
 * @since 0.1
 */
public record CallFacts(
    String wireId,
    long deadlineMillis,
    CallSize size,
    PromptKey prompt,
    boolean resumes,
    Optional<CallerKey> key) {
  /** Of a caller whose headers can not be read. */
  static final CallFacts NONE =
      new CallFacts("", 0, CallSize.NONE, PromptKey.NONE, false, Optional.empty());
}
