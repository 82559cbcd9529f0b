/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

/**
 * The state of a log's replica after a certain entry.
 *
 * @param through the number of the last entry that the snapshot covers
 * @param content the state in the replica's own format; must not be modified
 * @since 0.1
 */
@SuppressWarnings("ArrayRecordComponent")
public record LogSnapshot(long through, byte[] content) {}
