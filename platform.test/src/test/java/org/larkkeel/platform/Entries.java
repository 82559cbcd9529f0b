/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.larkkeel.http.Json;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.StoredObject;

/** Creates entries as runners write them. Stateless. */
final class Entries {
  private Entries() {}

  /** Returns the content of a valid entry. */
  static ObjectNode valid() {
    ObjectNode entry = Json.object();
    entry.put("service", "app").put("address", "10.0.0.1:80").put("zone", "dc-1");
    entry.put("version", "v1").put("slots", 6).put("state", "ready");
    return entry.put("cold_left_ms", 0).put("sequence", 12);
  }

  static StoredObject object(String name, JsonNode spec) {
    ObjectKey key = new ObjectKey(PlatformNames.SERVERS_KIND, name);
    return new StoredObject(key, PlatformNames.SERVERS_KIND, new StoreVersion(1, 1), spec);
  }
}
