/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * The prefix cache of an engine: the keys of cached prompt prefixes, evicted in LRU order.
 *
 * <p>Invariant: the number of keys never exceeds the capacity. Not safe for use by several threads.
 *
 * @since 0.1
 */
final class PrefixCache {
  /** The size of a piece, in bytes of the prompt in UTF-8. */
  static final int PIECE_BYTES = 8_000;

  /** The size of a piece, in tokens. */
  static final int PIECE_TOKENS = 2_000;

  private static final int KEY_DIGITS = 16;
  private static final float LOAD_FACTOR = 0.75f;

  private final int capacity;
  private final LinkedHashMap<String, Boolean> keys = new LinkedHashMap<>(16, LOAD_FACTOR, true);

  /** The keys that an operation added to the cache and removed from it. */
  record Change(List<String> stored, List<String> removed) {}

  PrefixCache(int capacity) {
    this.capacity = capacity;
  }

  /** Returns the keys of all prefixes of a prompt that end with a full piece, shortest first. */
  static List<String> keysOf(String prompt) {
    byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
    MessageDigest digest = sha256();
    List<String> prefixKeys = new ArrayList<>();
    for (int end = PIECE_BYTES; end <= bytes.length; end += PIECE_BYTES) {
      digest.update(bytes, end - PIECE_BYTES, PIECE_BYTES);
      prefixKeys.add(keyOf(digest));
    }
    return prefixKeys;
  }

  /** Returns the number of tokens of the longest cached prefix and marks its keys as used. */
  int cachedTokens(List<String> promptKeys) {
    int tokens = 0;
    for (String key : promptKeys) {
      if (keys.get(key) == null) {
        break;
      }
      tokens += PIECE_TOKENS;
    }
    return tokens;
  }

  Change store(List<String> promptKeys) {
    List<String> stored = new ArrayList<>();
    for (String key : promptKeys) {
      if (keys.put(key, true) == null) {
        stored.add(key);
      }
    }
    return new Change(stored, evictDownTo(capacity));
  }

  Change clear() {
    return new Change(List.of(), evictDownTo(0));
  }

  private List<String> evictDownTo(int size) {
    List<String> removed = new ArrayList<>();
    Iterator<String> eldest = keys.keySet().iterator();
    while (keys.size() > size) {
      removed.add(eldest.next());
      eldest.remove();
    }
    return removed;
  }

  private static String keyOf(MessageDigest digest) {
    try {
      byte[] hash = ((MessageDigest) digest.clone()).digest();
      return HexFormat.of().formatHex(hash).substring(0, KEY_DIGITS);
    } catch (CloneNotSupportedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
