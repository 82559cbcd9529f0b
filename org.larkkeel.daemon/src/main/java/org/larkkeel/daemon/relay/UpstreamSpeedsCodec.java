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
import org.larkkeel.balance.ServiceSpeeds;
import org.larkkeel.balance.UpstreamSpeed;
import org.larkkeel.balance.WorkKind;
import org.larkkeel.lib.UpstreamIncarnation;

/**
 * Encodes and decodes extension {@link ExtensionId#UPSTREAM_SPEEDS}: the speeds of engines that
 * deviate from the median of their service.
 *
 * <p>Stateless and thread-safe.
 */
final class UpstreamSpeedsCodec {
  private static final int INITIAL_BYTES = 512;

  private UpstreamSpeedsCodec() {}

  static byte[] toBytes(List<UpstreamSpeed> speeds) {
    try {
      TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BYTES);
      TCompactProtocol out = new TCompactProtocol(buffer);
      out.writeI32(speeds.size());
      for (UpstreamSpeed s : speeds) {
        PeerMessageCodec.writeIncarnation(out, s.upstream());
        out.writeByte((byte) s.kind().ordinal());
        out.writeI64(s.speedThousandths());
        out.writeI64(s.ageMillis());
      }
      return Arrays.copyOf(buffer.getArray(), buffer.length());
    } catch (TException e) {
      throw new IllegalStateException("writing an extension to memory failed", e);
    }
  }

  /**
   * Decodes speeds.
   *
   * @throws TException if the bytes end too early
   * @throws IndexOutOfBoundsException if a number has no end
   * @throws IllegalArgumentException if a value is invalid, or there are too many speeds
   */
  static ImmutableList<UpstreamSpeed> fromBytes(byte[] bytes) throws TException {
    TCompactProtocol in = new TCompactProtocol(new TMemoryInputTransport(bytes));
    ImmutableList.Builder<UpstreamSpeed> speeds = ImmutableList.builder();
    int size = PeerMessageCodec.checkedSize(in.readI32(), ServiceSpeeds.MAX_REPORTED);
    for (int i = size; i > 0; i--) {
      UpstreamIncarnation upstream = PeerMessageCodec.readIncarnation(in);
      WorkKind kind = PeerMessageCodec.constant(WorkKind.values(), in.readByte());
      speeds.add(new UpstreamSpeed(upstream, kind, in.readI64(), in.readI64()));
    }
    return speeds.build();
  }
}
