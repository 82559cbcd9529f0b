/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import java.util.Optional;
import org.larkkeel.lib.UpstreamLife;

/**
 * What a node tells others of the limit of an upstream's requests.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param life of which upstream, never null
 * @param limit the limit; empty if it has ended
 * @param ageNanos how long ago it was heard, at the latest; at least 0
 * @since 0.1
 */
public record RateWord(UpstreamLife life, Optional<RequestRate> limit, long ageNanos) {}
