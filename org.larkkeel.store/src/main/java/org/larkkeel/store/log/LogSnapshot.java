/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

/**
 * The state of a log's replica after an entry.
 *
 * @param through the last entry that it covers
 * @param content the state, in the replica's own form; not to be changed
 * @since 0.1
 */
@SuppressWarnings("ArrayRecordComponent")
public record LogSnapshot(long through, byte[] content) {}
