/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import java.util.Optional;
import org.larkkeel.relay.CallSize;
import org.larkkeel.relay.CallerKey;
import org.larkkeel.relay.Prompt;
import org.larkkeel.relay.StreamId;

/**
 * The properties of a call that the caller declares in headers.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param wireId the id of the call as the caller knows it; empty if the caller sent none
 * @param deadlineMillis the time for which the caller waits, milliseconds from arrival; 0 if not
 *     declared
 * @param size the declared sizes of prompt and output
 * @param prompt the named parts of the prompt
 * @param resumesStream true if the caller has received the beginning of the stream before
 * @param resumedStream the stream that the caller takes up; empty if the caller names none
 * @param key the key that identifies the workspace of the caller; empty if the caller sent none
 * @since 0.1
 */
public record CallMetadata(
    String wireId,
    long deadlineMillis,
    CallSize size,
    Prompt prompt,
    boolean resumesStream,
    Optional<StreamId> resumedStream,
    Optional<CallerKey> key) {
  /** The value for a call whose headers cannot be parsed. */
  static final CallMetadata NONE =
      new CallMetadata(
          "", 0, CallSize.NONE, Prompt.NONE, false, Optional.empty(), Optional.empty());
}
