/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

import com.google.common.collect.ImmutableMap;

/**
 * The tokens that a coordinator has left of the recently requested quotas.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param left the tokens left, by quota
 * @since 0.1
 */
public record QuotaLevels(ImmutableMap<QuotaKey, Long> left) implements QuotaMessage {}
