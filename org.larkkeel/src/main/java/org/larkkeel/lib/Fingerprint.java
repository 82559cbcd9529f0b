/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies data without revealing it: the first half of its SHA-256 digest.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param high the first eight bytes
 * @param low the next eight bytes
 * @since 0.1
 */
public record Fingerprint(long high, long low) {
  private static final String ALGORITHM = "SHA-256";
  private static final int HEX_DIGITS = 32;

  /**
   * Returns the fingerprint of a sequence of parts.
   *
   * @param parts the parts, never null; their boundaries are part of the digest
   */
  public static Fingerprint of(byte[]... parts) {
    MessageDigest digest = digest();
    for (byte[] part : parts) {
      digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).flip());
      digest.update(part);
    }
    ByteBuffer hash = ByteBuffer.wrap(digest.digest());
    return new Fingerprint(hash.getLong(), hash.getLong());
  }

  /** Returns the fingerprint of the UTF-8 bytes of a sequence of texts. */
  public static Fingerprint of(String... texts) {
    byte[][] parts = new byte[texts.length][];
    for (int i = 0; i < texts.length; i++) {
      parts[i] = texts[i].getBytes(StandardCharsets.UTF_8);
    }
    return of(parts);
  }

  /**
   * Parses the form that {@link #toString} produces.
   *
   * @throws IllegalArgumentException if the text is not a fingerprint
   */
  public static Fingerprint parse(String text) {
    if (text.length() != HEX_DIGITS) {
      throw new IllegalArgumentException(
          "a fingerprint has " + HEX_DIGITS + " hexadecimal digits, not " + text.length());
    }
    ByteBuffer bytes = ByteBuffer.wrap(HexFormat.of().parseHex(text));
    return new Fingerprint(bytes.getLong(), bytes.getLong());
  }

  private static MessageDigest digest() {
    try {
      return MessageDigest.getInstance(ALGORITHM);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }

  @Override
  public String toString() {
    HexFormat hex = HexFormat.of();
    return hex.toHexDigits(high) + hex.toHexDigits(low);
  }
}
