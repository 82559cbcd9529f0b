/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The newest load record of each key. If the table is full, the record that was changed least
 * recently is removed. Not safe for use by several threads.
 */
final class LoadTable {
  private final int maxKeys;
  private final Map<String, LoadRecord> records = new LinkedHashMap<>();

  LoadTable(int maxKeys) {
    this.maxKeys = maxKeys;
  }

  /** Adds a record if it is newer than the known one of its key, and returns whether it was. */
  boolean putIfNewer(LoadRecord load) {
    LoadRecord known = records.get(load.key());
    if (known != null && known.version() >= load.version()) {
      return false;
    }
    records.remove(load.key());
    if (records.size() >= maxKeys) {
      records.remove(records.keySet().iterator().next());
    }
    records.put(load.key(), load);
    return true;
  }
}
