/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

import com.google.common.collect.ImmutableMap;

/**
 * What a coordinator has left of the quotas that were asked for lately.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param left tokens by quota
 * @since 0.1
 */
public record QuotaLevels(ImmutableMap<QuotaKey, Long> left) implements QuotaMessage {}
