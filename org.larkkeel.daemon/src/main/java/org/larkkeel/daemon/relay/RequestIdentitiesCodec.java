/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.larkkeel.relay.RequestTerms;

/**
 * Encodes and decodes the identities of a report's requests: for each request, by position, 64 bits
 * that are equal for all retries of a caller's request; 0 for a request without terms.
 *
 * <p>Stateless and thread-safe.
 */
final class RequestIdentitiesCodec {
  private RequestIdentitiesCodec() {}

  static byte[] toBytes(List<Optional<RequestTerms>> terms) {
    ByteBuffer out = ByteBuffer.allocate(terms.size() * Long.BYTES);
    terms.forEach(t -> out.putLong(t.map(RequestTerms::identity).orElse(0L)));
    return out.array();
  }

  /**
   * Decodes the identities.
   *
   * @throws IllegalArgumentException if the bytes are malformed
   */
  static ImmutableList<Long> fromBytes(byte[] bytes) {
    if (bytes.length % Long.BYTES != 0) {
      throw new IllegalArgumentException(
          bytes.length + " bytes are no identities: use a multiple of " + Long.BYTES);
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    ImmutableList.Builder<Long> identities = ImmutableList.builder();
    while (in.hasRemaining()) {
      identities.add(in.getLong());
    }
    return identities.build();
  }
}
