/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.larkkeel.store.StoreVersion;

/**
 * What a read of a log returned.
 *
 * <p>Invariant: the entries follow one another without gaps, from the snapshot or else from where
 * the reader asked.
 *
 * @param snapshot where to start from, empty if the reader's own place will do
 * @param entries the entries after it, in order
 * @param tail the last entry of the log, 0 if it is empty
 * @param resourceVersion a watch may start from it
 * @since 0.1
 */
public record LogView(
    Optional<LogSnapshot> snapshot,
    ImmutableList<LogEntry> entries,
    long tail,
    StoreVersion resourceVersion) {}
