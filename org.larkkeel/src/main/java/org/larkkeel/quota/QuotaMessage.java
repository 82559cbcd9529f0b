/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

/**
 * What nodes and the coordinator of quotas tell each other.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface QuotaMessage permits QuotaAsk, QuotaGrant, QuotaLevels {}
