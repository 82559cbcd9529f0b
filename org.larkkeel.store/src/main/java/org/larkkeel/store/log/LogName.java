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
 * The name of a log, from which the names of its objects are formed. Entries and snapshots are in
 * separate collections, so that a watch on the entries does not deliver snapshots. Immutable.
 *
 * @param value the name of the collection that holds the entries, never null
 * @since 0.1
 */
public record LogName(String value) {
  private static final String SNAPSHOTS_SUFFIX = "-snapshots";
  private static final String MANIFEST = "manifest";
  private static final String CHUNK_PREFIX = "chunk-";
  private static final int DIGITS = 16;

  /**
   * Creates a name.
   *
   * @throws IllegalArgumentException if the name is not a valid collection name
   */
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
    return value + SNAPSHOTS_SUFFIX;
  }

  ObjectKey manifest() {
    return new ObjectKey(snapshotCollection(), MANIFEST);
  }

  String chunkPrefix() {
    return CHUNK_PREFIX;
  }

  ObjectKey chunk(long through, String chunkId, int index) {
    String name = CHUNK_PREFIX + digits(through) + "-" + chunkId + "-" + index;
    return new ObjectKey(snapshotCollection(), name);
  }

  long chunkThrough(ObjectKey key) {
    return Long.parseLong(
        key.name().substring(CHUNK_PREFIX.length(), CHUNK_PREFIX.length() + DIGITS));
  }

  private static String digits(long number) {
    return String.format(Locale.ROOT, "%0" + DIGITS + "d", number);
  }

  @Override
  public String toString() {
    return value;
  }
}
