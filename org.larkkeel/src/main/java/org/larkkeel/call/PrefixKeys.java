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
 * The keys of the prefixes of a prompt, shortest first, one for each full piece.
 *
 * <p>A key is the first 8 bytes of the SHA-256 digest of the prompt's UTF-8 bytes up to the end of
 * the piece, so it equals the key that engines publish in cache events. Immutable and safe for use
 * by several threads.
 *
 * @param keys the keys, one for each full piece
 * @since 0.1
 */
public record PrefixKeys(ImmutableLongArray keys) {
  /** The bytes of a piece: 2,000 tokens of four bytes. */
  public static final int PIECE_BYTES = 8_000;

  /** The tokens of a piece. */
  public static final int PIECE_TOKENS = 2_000;

  /** The bytes of a prompt that count as one token. */
  public static final int BYTES_PER_TOKEN = 4;

  /** The keys of a prompt without a full piece. */
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
   * Returns an estimate of the number of tokens of a prompt.
   *
   * @param utf8Bytes the length of the prompt in UTF-8 bytes
   * @return the number of tokens, rounded up
   */
  public static int tokens(int utf8Bytes) {
    return (utf8Bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
  }
}
