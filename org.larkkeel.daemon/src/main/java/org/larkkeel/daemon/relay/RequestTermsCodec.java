/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Ints;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.larkkeel.relay.RequestTerms;

/**
 * Encodes and decodes the times for which the callers of a report's requests wait: for each
 * request, by position, the time until its caller abandons it and until its deadline, in
 * milliseconds after its arrival (32 bits each); both -1 for a request without terms.
 *
 * <p>Stateless and thread-safe.
 */
final class RequestTermsCodec {
  private static final int BYTES = 2 * Integer.BYTES;
  private static final int NONE = -1;

  private RequestTermsCodec() {}

  static byte[] toBytes(List<Optional<RequestTerms>> terms) {
    ByteBuffer out = ByteBuffer.allocate(terms.size() * BYTES);
    for (Optional<RequestTerms> t : terms) {
      out.putInt(t.map(x -> Ints.saturatedCast(x.abandonMillis())).orElse(NONE));
      out.putInt(t.map(x -> Ints.saturatedCast(x.deadlineMillis())).orElse(NONE));
    }
    return out.array();
  }

  /**
   * Decodes the terms, with the identities of the same requests.
   *
   * @throws IllegalArgumentException if the bytes are malformed or of another number of requests
   */
  static ImmutableList<Optional<RequestTerms>> fromBytes(byte[] bytes, List<Long> identities) {
    if (bytes.length != identities.size() * BYTES) {
      throw new IllegalArgumentException(
          bytes.length + " bytes are no terms of " + identities.size() + " requests");
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    ImmutableList.Builder<Optional<RequestTerms>> terms = ImmutableList.builder();
    for (long identity : identities) {
      int abandonMillis = in.getInt();
      int deadlineMillis = in.getInt();
      terms.add(
          abandonMillis < 0 || deadlineMillis < 0
              ? Optional.empty()
              : Optional.of(new RequestTerms(identity, abandonMillis, deadlineMillis)));
    }
    return terms.build();
  }
}
