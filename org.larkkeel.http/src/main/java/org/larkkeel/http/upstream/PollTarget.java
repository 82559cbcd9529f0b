/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import org.larkkeel.lib.UpstreamName;

/**
 * An engine to poll.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name of the engine
 * @param address the address where the engine listens
 * @since 0.1
 */
public record PollTarget(UpstreamName name, UpstreamAddress address) {}
