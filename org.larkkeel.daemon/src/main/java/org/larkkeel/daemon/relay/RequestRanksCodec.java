/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import java.util.Arrays;
import java.util.Optional;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.relay.CallRank;
import org.larkkeel.relay.ReservationRequest;

/**
 * Encodes and decodes {@link ExtensionId#REQUEST_RANKS}: for each request of a message, by
 * position, the two parts of its rank and the name of its workspace, which is empty for none.
 *
 * <p>Stateless and thread-safe.
 */
final class RequestRanksCodec {
  private static final int INITIAL_BYTES = 128;

  private RequestRanksCodec() {}

  /** Returns the extension for some requests; empty if none of them names a rank or workspace. */
  static Optional<byte[]> toBytes(ImmutableList<ReservationRequest> requests) {
    if (requests.stream()
        .allMatch(r -> r.rank().equals(CallRank.LOWEST) && r.workspace().isEmpty())) {
      return Optional.empty();
    }
    try {
      TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BYTES);
      TCompactProtocol out = new TCompactProtocol(buffer);
      for (ReservationRequest r : requests) {
        out.writeI16((short) r.rank().first());
        out.writeI16((short) r.rank().second());
        out.writeString(r.workspace().map(WorkspaceName::value).orElse(""));
      }
      return Optional.of(Arrays.copyOf(buffer.getArray(), buffer.length()));
    } catch (TException e) {
      throw new IllegalStateException("writing an extension to memory failed", e);
    }
  }

  /**
   * Returns requests with the ranks and workspaces of the extension.
   *
   * @throws TException if the bytes end too early
   * @throws IndexOutOfBoundsException if a number has no end
   * @throws IllegalArgumentException if a value is invalid, or the extension is for a different
   *     number of requests
   */
  static ImmutableList<ReservationRequest> apply(
      byte[] bytes, ImmutableList<ReservationRequest> requests) throws TException {
    TMemoryInputTransport transport = new TMemoryInputTransport(bytes);
    TCompactProtocol in = new TCompactProtocol(transport);
    ImmutableList.Builder<ReservationRequest> ranked = ImmutableList.builder();
    for (ReservationRequest r : requests) {
      CallRank rank = new CallRank(in.readI16(), in.readI16());
      String name = in.readString();
      ranked.add(
          r.withRank(
              rank, name.isEmpty() ? Optional.empty() : Optional.of(new WorkspaceName(name))));
    }
    if (transport.getBytesRemainingInBuffer() > 0) {
      throw new IllegalArgumentException("the extension is for more than the message's requests");
    }
    return ranked.build();
  }
}
