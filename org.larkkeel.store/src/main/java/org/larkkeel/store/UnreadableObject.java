/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

/**
 * An object of the store whose frame (name, version) can not be read.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name its name, empty if that can not be read, never null
 * @param resourceVersion the version of its last change; where that can not be read, the version of
 *     the answer that told of it
 * @param problem why it can not be read, never null
 * @since 0.1
 */
public record UnreadableObject(String name, StoreVersion resourceVersion, EntryProblem problem) {}
