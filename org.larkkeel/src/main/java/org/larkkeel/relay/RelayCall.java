/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import java.util.Optional;
import org.larkkeel.lib.RequestId;

/**
 * One call of a caller, as seen by the router.
 *
 * <p>Immutable except for the fingerprint of its identity, which is computed on first use. Not safe
 * for use by several threads.
 *
 * @param id the id, unique on this node
 * @param wireId the caller's id of the call
 * @param host the host that the call names
 * @param path the path without its query
 * @param deadlineMillis the time for which the caller waits; 0 if the caller sent none
 * @param size the declared size of the generation
 * @param prompt the named parts of the prompt
 * @param resumes true if the caller already has the beginning of the stream
 * @param resumedStream the stream that the caller takes up; empty if it is a new one, or the caller
 *     does not name it
 * @param identity identifies the request, which is the same in all calls that retry it
 * @param key identifies the caller's workspace; empty if the call has no key
 * @since 0.1
 */
public record RelayCall(
    RequestId id,
    String wireId,
    String host,
    String path,
    long deadlineMillis,
    CallSize size,
    Prompt prompt,
    boolean resumes,
    Optional<StreamId> resumedStream,
    RequestIdentity identity,
    Optional<CallerKey> key) {
  /** Creates a call that names no stream to be taken up, and of its prompt only the last part. */
  public RelayCall(
      RequestId id,
      String wireId,
      String host,
      String path,
      long deadlineMillis,
      CallSize size,
      PromptKey prompt,
      boolean resumes,
      RequestIdentity identity,
      Optional<CallerKey> key) {
    this(
        id,
        wireId,
        host,
        path,
        deadlineMillis,
        size,
        Prompt.of(prompt),
        resumes,
        Optional.empty(),
        identity,
        key);
  }
}
