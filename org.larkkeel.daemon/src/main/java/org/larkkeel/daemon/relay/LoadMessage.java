/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamName;

/**
 * What one node tells the others: its name and what it has in flight, in Thrift's compact protocol.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param node who tells
 * @param loads units in flight by upstream
 * @param lapsing upstreams whose prompts it found to be lost at once
 * @param changes the newest changes that it has seen in the store
 */
record LoadMessage(
    HostName node,
    ImmutableMap<UpstreamName, Long> loads,
    ImmutableSet<UpstreamName> lapsing,
    FeedChanges changes) {
  /** The largest message; what does not fit a datagram is not sent. */
  static final int MAX_BYTES = 60_000;

  private static final byte VERSION = 3;
  private static final int FIRST_BYTES = 256;

  byte[] toBytes() {
    try {
      TMemoryBuffer buffer = new TMemoryBuffer(FIRST_BYTES);
      TCompactProtocol out = new TCompactProtocol(buffer);
      out.writeByte(VERSION);
      out.writeString(node.value());
      out.writeListBegin(new TList(TType.STRUCT, loads.size()));
      for (var e : loads.entrySet()) {
        out.writeString(e.getKey().value());
        out.writeI64(e.getValue());
      }
      out.writeListBegin(new TList(TType.STRING, lapsing.size()));
      for (UpstreamName upstream : lapsing) {
        out.writeString(upstream.value());
      }
      out.writeI64(changes.configurations());
      out.writeI64(changes.upstreams());
      byte[] bytes = new byte[buffer.length()];
      System.arraycopy(buffer.getArray(), 0, bytes, 0, bytes.length);
      return bytes;
    } catch (TException e) {
      throw new IllegalStateException("a message to memory can not fail", e);
    }
  }

  /** Reads a message; empty if it is none. */
  static Optional<LoadMessage> fromBytes(byte[] bytes) {
    try {
      TCompactProtocol in = new TCompactProtocol(new TMemoryInputTransport(bytes));
      if (in.readByte() != VERSION) {
        return Optional.empty();
      }
      HostName node = new HostName(in.readString());
      int size = in.readListBegin().size;
      ImmutableMap.Builder<UpstreamName, Long> loads = ImmutableMap.builder();
      for (int i = 0; i < size; i++) {
        UpstreamName upstream = new UpstreamName(in.readString());
        loads.put(upstream, Math.max(0, in.readI64()));
      }
      int lost = in.readListBegin().size;
      ImmutableSet.Builder<UpstreamName> lapsing = ImmutableSet.builder();
      for (int i = 0; i < lost; i++) {
        lapsing.add(new UpstreamName(in.readString()));
      }
      FeedChanges changes = new FeedChanges(in.readI64(), in.readI64());
      return Optional.of(new LoadMessage(node, loads.buildKeepingLast(), lapsing.build(), changes));
    } catch (TException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
