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
 * What an upstream is told beside the request.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param upstream the upstream for which it is meant
 * @param purpose what it is to do
 * @param leftMillis how long it may take, at least 1
 * @param resumeAfter the last whole event that the caller got from an earlier run
 * @param workspace for whom the request is; empty if nobody's
 * @since 0.1
 */
public record SendFacts(
    RelayUpstream upstream,
    RelayEffect.Purpose purpose,
    long leftMillis,
    OptionalLong resumeAfter,
    Optional<WorkspaceName> workspace) {}
