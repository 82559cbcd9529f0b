/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.config;

import org.larkkeel.config.Change;
import org.larkkeel.lib.Revision;

/**
 * An accepted change with its author, time and reason. Immutable.
 *
 * @param revision the revision that the change produced, never null
 * @param change the change, never null
 * @since 0.1
 */
public record AuditEntry(Revision revision, Change change) {}
