/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An object as stored by the platform.
 *
 * <p>Immutable by convention: {@code spec} must not be changed after construction.
 *
 * @param key the collection and the name of the object, never null
 * @param kind the kind of object, never null
 * @param resourceVersion the version of the last change of the object, never null
 * @param spec the content, never null
 * @since 0.1
 */
public record StoredObject(
    ObjectKey key, String kind, StoreVersion resourceVersion, JsonNode spec) {}
