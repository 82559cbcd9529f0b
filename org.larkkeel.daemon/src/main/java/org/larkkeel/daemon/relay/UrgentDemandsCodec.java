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
import org.larkkeel.quota.QuotaMessage;
import org.larkkeel.quota.QuotaRequest;

/**
 * Encodes and decodes {@link ExtensionId#URGENT_DEMANDS}: for each demand of a quota request, by
 * position, the tokens that are needed for the most urgent rank.
 *
 * <p>Stateless and thread-safe.
 */
final class UrgentDemandsCodec {
  private static final int INITIAL_BYTES = 64;

  private UrgentDemandsCodec() {}

  /** Returns the extension for a quota message; empty if none of its demands is urgent. */
  static Optional<byte[]> toBytes(Optional<QuotaMessage> message) {
    if (!(message.orElse(null) instanceof QuotaRequest request)
        || request.demands().stream().allMatch(d -> d.urgent() == 0)) {
      return Optional.empty();
    }
    try {
      TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BYTES);
      TCompactProtocol out = new TCompactProtocol(buffer);
      for (QuotaRequest.Demand demand : request.demands()) {
        out.writeI64(demand.urgent());
      }
      return Optional.of(Arrays.copyOf(buffer.getArray(), buffer.length()));
    } catch (TException e) {
      throw new IllegalStateException("writing an extension to memory failed", e);
    }
  }

  /**
   * Returns a quota request with the urgent tokens of the extension.
   *
   * @throws TException if the bytes end too early
   * @throws IndexOutOfBoundsException if a number has no end
   * @throws IllegalArgumentException if a number is negative or greater than the needed tokens, or
   *     the extension is for a different number of demands
   */
  static QuotaRequest apply(byte[] bytes, QuotaRequest request) throws TException {
    TMemoryInputTransport transport = new TMemoryInputTransport(bytes);
    TCompactProtocol in = new TCompactProtocol(transport);
    ImmutableList.Builder<QuotaRequest.Demand> demands = ImmutableList.builder();
    for (QuotaRequest.Demand demand : request.demands()) {
      long urgent = in.readI64();
      if (urgent < 0 || urgent > demand.needed()) {
        throw new IllegalArgumentException(
            urgent + " urgent tokens of " + demand.needed() + " needed ones");
      }
      demands.add(demand.withUrgent(urgent));
    }
    if (transport.getBytesRemainingInBuffer() > 0) {
      throw new IllegalArgumentException("the extension is for more than the message's demands");
    }
    return new QuotaRequest(
        request.epoch(), request.sequence(), request.lentNanos(), request.nodes(), demands.build());
  }
}
