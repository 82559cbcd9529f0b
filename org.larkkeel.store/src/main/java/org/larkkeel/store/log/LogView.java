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
 * The result of reading a log.
 *
 * <p>Invariant: the entries are consecutive, starting after the snapshot, or after the reader's
 * position if there is no snapshot.
 *
 * @param snapshot the state to start from, empty if the entries continue from the reader's position
 * @param entries the entries after the snapshot or the reader's position, in order
 * @param tail the number of the last entry of the log, 0 if the log is empty
 * @param resourceVersion the version from which a watch can start
 * @since 0.1
 */
public record LogView(
    Optional<LogSnapshot> snapshot,
    ImmutableList<LogEntry> entries,
    long tail,
    StoreVersion resourceVersion) {}
