/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

/**
 * A message between nodes and the quota coordinator.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface QuotaMessage permits QuotaRequest, QuotaGrant, QuotaLevels {}
