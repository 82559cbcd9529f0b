/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

/**
 * An object of the store whose metadata (name, version) cannot be read.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the object, empty if it cannot be read, never null
 * @param resourceVersion the version of the last change of the object; if it cannot be read, the
 *     version of the answer that contained the object
 * @param problem the reason why the object cannot be read, never null
 * @since 0.1
 */
public record UnreadableObject(String name, StoreVersion resourceVersion, EntryProblem problem) {}
