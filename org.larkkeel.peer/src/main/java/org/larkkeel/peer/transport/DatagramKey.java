/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.transport;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * A shared key that authenticates datagrams with a truncated HMAC-SHA-256.
 *
 * <p>Each datagram carries the id of its key, so that old and new keys can both be accepted while a
 * key is replaced. Immutable and safe for use by several threads. {@link #toString} does not reveal
 * the secret.
 *
 * @since 0.1
 */
public final class DatagramKey {
  /** The size of the message authentication code in a datagram, in bytes. */
  static final int MAC_BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";
  private static final int MIN_KEY_BYTES = 16;

  private final int id;
  private final SecretKeySpec key;

  /**
   * Creates a key.
   *
   * @param id the id, 1 to 127
   * @param secret the secret, at least 16 bytes, copied
   * @throws IllegalArgumentException if a value is out of range
   */
  public DatagramKey(int id, byte[] secret) {
    if (id < 1 || id > Byte.MAX_VALUE) {
      throw new IllegalArgumentException("the key id is " + id + ": use 1 to " + Byte.MAX_VALUE);
    }
    if (secret.length < MIN_KEY_BYTES) {
      throw new IllegalArgumentException(
          "the secret has " + secret.length + " bytes: use at least " + MIN_KEY_BYTES);
    }
    this.id = id;
    this.key = new SecretKeySpec(secret, ALGORITHM);
  }

  /**
   * Returns the id of the key.
   *
   * @return 1 to 127
   */
  public int id() {
    return id;
  }

  byte[] mac(byte[] data, int offset, int length) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      mac.update((byte) id);
      mac.update(data, offset, length);
      return Arrays.copyOf(mac.doFinal(), MAC_BYTES);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the Java platform does not provide " + ALGORITHM, e);
    }
  }

  boolean isAuthentic(byte[] mac, byte[] data, int offset, int length) {
    return MessageDigest.isEqual(mac, mac(data, offset, length));
  }

  @Override
  public String toString() {
    return "DatagramKey[" + id + "]";
  }
}
