/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import java.util.Optional;
import org.larkkeel.lib.RequestId;

/**
 * One attempt of a caller, as the router sees it.
 *
 * <p>Immutable but for what its identity computes when asked. Not safe for use by several threads.
 *
 * @param id unique on this node
 * @param wireId what the caller calls it
 * @param host the host that it names
 * @param path the path without its query
 * @param deadlineMillis how long the caller waits; 0 if it did not say
 * @param size the size of its generation
 * @param prompt names its prompt
 * @param resumes whether its caller has had the beginning of its stream
 * @param identity tells whether another call is the same request
 * @param key shows for which workspace it is; empty if it has none
 * @since 0.1
 */
public record RelayCall(
    RequestId id,
    String wireId,
    String host,
    String path,
    long deadlineMillis,
    CallSize size,
    PromptKey prompt,
    boolean resumes,
    RequestIdentity identity,
    Optional<CallerKey> key) {}
