/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One object as the platform keeps it.
 *
 * <p>Immutable by agreement: nobody changes {@code spec} after construction.
 *
 * @param key collection and name, never null
 * @param kind the kind of object, never null
 * @param resourceVersion the version of its last change, never null
 * @param spec the content, never null
 * @since 0.1
 */
public record StoredObject(
    ObjectKey key, String kind, StoreVersion resourceVersion, JsonNode spec) {}
