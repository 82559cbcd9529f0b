/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import java.util.Arrays;
import java.util.List;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.larkkeel.balance.SpeedSample;
import org.larkkeel.balance.WorkKind;
import org.larkkeel.lib.UpstreamIncarnation;

/**
 * Encodes and decodes extension {@link ExtensionId#SPEED_SAMPLES}: measurements of engines.
 *
 * <p>Stateless and thread-safe.
 */
final class SpeedSamplesCodec {
  /** The maximum number of samples in a message; nodes send at most 16. */
  private static final int MAX_SAMPLES = 64;

  private static final int INITIAL_BYTES = 512;

  private SpeedSamplesCodec() {}

  static byte[] toBytes(List<SpeedSample> samples) {
    try {
      TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BYTES);
      TCompactProtocol out = new TCompactProtocol(buffer);
      out.writeI32(samples.size());
      for (SpeedSample s : samples) {
        PeerMessageCodec.writeIncarnation(out, s.upstream());
        out.writeByte((byte) s.kind().ordinal());
        out.writeI64(s.nanosPerUnit());
        out.writeI64(s.loadThousandths());
      }
      return Arrays.copyOf(buffer.getArray(), buffer.length());
    } catch (TException e) {
      throw new IllegalStateException("writing an extension to memory failed", e);
    }
  }

  /**
   * Decodes samples.
   *
   * @throws TException if the bytes end too early
   * @throws IndexOutOfBoundsException if a number has no end
   * @throws IllegalArgumentException if a value is invalid, or there are too many samples
   */
  static ImmutableList<SpeedSample> fromBytes(byte[] bytes) throws TException {
    TCompactProtocol in = new TCompactProtocol(new TMemoryInputTransport(bytes));
    ImmutableList.Builder<SpeedSample> samples = ImmutableList.builder();
    for (int i = PeerMessageCodec.checkedSize(in.readI32(), MAX_SAMPLES); i > 0; i--) {
      UpstreamIncarnation upstream = PeerMessageCodec.readIncarnation(in);
      WorkKind kind = PeerMessageCodec.constant(WorkKind.values(), in.readByte());
      samples.add(new SpeedSample(upstream, kind, in.readI64(), in.readI64()));
    }
    return samples.build();
  }
}
