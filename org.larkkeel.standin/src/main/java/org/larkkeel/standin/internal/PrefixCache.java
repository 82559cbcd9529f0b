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
 * The prefix cache: keys of prompt prefixes, the least recently used dropped first.
 *
 * <p>Invariant: holds at most its capacity. Not safe for use by several threads.
 *
 * @since 0.1
 */
final class PrefixCache {
  /** The size of a piece, in bytes of prompt. */
  static final int PIECE_BYTES = 8_000;

  /** The size of a piece, in tokens. */
  static final int PIECE_TOKENS = 2_000;

  private static final int KEY_DIGITS = 16;
  private static final float LOAD_FACTOR = 0.75f;

  private final int capacity;
  private final LinkedHashMap<String, Boolean> keys = new LinkedHashMap<>(16, LOAD_FACTOR, true);

  /** What storing a prompt changed. */
  record Change(List<String> stored, List<String> removed) {}

  PrefixCache(int capacity) {
    this.capacity = capacity;
  }

  /** The keys of the full pieces of a prompt, shortest prefix first. */
  static List<String> keysOf(String prompt) {
    byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
    MessageDigest digest = sha256();
    List<String> all = new ArrayList<>();
    for (int end = PIECE_BYTES; end <= bytes.length; end += PIECE_BYTES) {
      digest.update(bytes, end - PIECE_BYTES, PIECE_BYTES);
      all.add(keyOf(digest));
    }
    return all;
  }

  /** The tokens of the longest cached prefix; marks it as used. */
  int cachedTokens(List<String> prompt) {
    int tokens = 0;
    for (String key : prompt) {
      if (keys.get(key) == null) {
        break;
      }
      tokens += PIECE_TOKENS;
    }
    return tokens;
  }

  Change store(List<String> prompt) {
    List<String> stored = new ArrayList<>();
    for (String key : prompt) {
      if (keys.put(key, true) == null) {
        stored.add(key);
      }
    }
    return new Change(stored, shrink(capacity));
  }

  Change clear() {
    return new Change(List.of(), shrink(0));
  }

  private List<String> shrink(int size) {
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
