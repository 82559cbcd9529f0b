/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.call;

import com.google.common.hash.Hashing;
import com.google.common.primitives.ImmutableLongArray;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The keys of the prefixes of a prompt, shortest first, one at the end of each full piece.
 *
 * <p>A key is the first 8 bytes of SHA-256 over the prompt's UTF-8 bytes up to the end of the
 * piece, so it equals the key that engines publish in cache events. Immutable and safe for use by
 * several threads.
 *
 * @param keys one key a full piece
 * @since 0.1
 */
public record PrefixKeys(ImmutableLongArray keys) {
  /** Bytes of a piece: 2,000 tokens of four bytes. */
  public static final int PIECE_BYTES = 8_000;

  /** Tokens of a piece. */
  public static final int PIECE_TOKENS = 2_000;

  /** Bytes of prompt that count as one token. */
  public static final int BYTES_PER_TOKEN = 4;

  /** No full piece. */
  public static final PrefixKeys NONE = new PrefixKeys(ImmutableLongArray.of());

  /**
   * Computes the keys of a prompt.
   *
   * @param prompt the text
   * @return its keys
   */
  public static PrefixKeys of(String prompt) {
    byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
    int pieces = bytes.length / PIECE_BYTES;
    if (pieces == 0) {
      return NONE;
    }
    ImmutableLongArray.Builder keys = ImmutableLongArray.builder(pieces);
    for (int i = 1; i <= pieces; i++) {
      byte[] digest = Hashing.sha256().hashBytes(bytes, 0, i * PIECE_BYTES).asBytes();
      keys.add(ByteBuffer.wrap(digest).getLong());
    }
    return new PrefixKeys(keys.build());
  }

  /**
   * Estimates the tokens of a prompt.
   *
   * @param utf8Bytes its length in UTF-8 bytes
   * @return tokens, rounded up
   */
  public static int tokens(int utf8Bytes) {
    return (utf8Bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
  }
}
