/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import java.util.Optional;
import java.util.OptionalLong;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayUpstream;

/**
 * The metadata of an attempt that is sent to the upstream with the request.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param upstream the upstream to which the request is sent
 * @param purpose the purpose of the attempt
 * @param leftMillis the time left for the answer, milliseconds, at least 1
 * @param resumeAfter the id of the last event that the caller got from an earlier run; empty if
 *     there is none
 * @param workspace the workspace of the request; empty if the request has none
 * @since 0.1
 */
public record SendMetadata(
    RelayUpstream upstream,
    RelayEffect.Purpose purpose,
    long leftMillis,
    OptionalLong resumeAfter,
    Optional<WorkspaceName> workspace) {}
