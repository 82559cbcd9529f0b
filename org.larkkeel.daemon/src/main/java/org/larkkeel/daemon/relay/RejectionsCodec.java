/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Ints;
import java.nio.ByteBuffer;
import java.util.Collection;
import org.larkkeel.lib.RequestId;

/**
 * Encodes and decodes the rejections in an answer to reservation requests: for each, the call id
 * (64 bits) and the Retry-After in milliseconds (32 bits).
 *
 * <p>Stateless and thread-safe.
 */
final class RejectionsCodec {
  private static final int BYTES = Long.BYTES + Integer.BYTES;

  private RejectionsCodec() {}

  static byte[] toBytes(Collection<ReservationRejection> rejections) {
    ByteBuffer out = ByteBuffer.allocate(rejections.size() * BYTES);
    for (ReservationRejection r : rejections) {
      out.putLong(r.call().value()).putInt(Ints.saturatedCast(r.retryAfterMillis()));
    }
    return out.array();
  }

  /**
   * Decodes rejections.
   *
   * @throws IllegalArgumentException if the bytes are malformed
   */
  static ImmutableList<ReservationRejection> fromBytes(byte[] bytes) {
    if (bytes.length % BYTES != 0) {
      throw new IllegalArgumentException(
          bytes.length + " bytes are no rejections: use a multiple of " + BYTES);
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    ImmutableList.Builder<ReservationRejection> rejections = ImmutableList.builder();
    while (in.hasRemaining()) {
      rejections.add(new ReservationRejection(new RequestId(in.getLong()), in.getInt()));
    }
    return rejections.build();
  }
}
