/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import java.util.Locale;
import java.util.OptionalLong;
import org.larkkeel.store.ObjectKey;

/**
 * Names a log and its objects. Entries are in one collection, snapshots in another, so that a watch
 * of the entries does not carry snapshots. Immutable.
 *
 * @param value the name of the collection of entries, never null
 * @since 0.1
 */
public record LogName(String value) {
  private static final String SNAPSHOTS = "-snapshots";
  private static final String MANIFEST = "manifest";
  private static final String CHUNK = "chunk-";
  private static final int DIGITS = 16;

  /** Checks the name. */
  public LogName {
    ObjectKey.check("collection", value);
  }

  ObjectKey entry(long number) {
    return new ObjectKey(value, entryPrefix() + digits(number));
  }

  String entryPrefix() {
    return value + "-";
  }

  OptionalLong numberOf(ObjectKey key) {
    String name = key.name();
    String prefix = entryPrefix();
    if (!name.startsWith(prefix) || name.length() != prefix.length() + DIGITS) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(Long.parseLong(name.substring(prefix.length())));
  }

  String snapshotCollection() {
    return value + SNAPSHOTS;
  }

  ObjectKey manifest() {
    return new ObjectKey(snapshotCollection(), MANIFEST);
  }

  String chunkPrefix() {
    return CHUNK;
  }

  ObjectKey chunk(long through, String unique, int index) {
    String name = CHUNK + digits(through) + "-" + unique + "-" + index;
    return new ObjectKey(snapshotCollection(), name);
  }

  long chunkThrough(ObjectKey key) {
    return Long.parseLong(key.name().substring(CHUNK.length(), CHUNK.length() + DIGITS));
  }

  private static String digits(long number) {
    return String.format(Locale.ROOT, "%0" + DIGITS + "d", number);
  }

  @Override
  public String toString() {
    return value;
  }
}
