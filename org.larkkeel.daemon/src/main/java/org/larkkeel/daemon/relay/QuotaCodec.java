/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TType;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.quota.QuotaGrant;
import org.larkkeel.quota.QuotaKey;
import org.larkkeel.quota.QuotaLevels;
import org.larkkeel.quota.QuotaMessage;
import org.larkkeel.quota.QuotaRequest;

/**
 * Encodes and decodes the quota part of a message between nodes.
 *
 * <p>Stateless and thread-safe.
 */
final class QuotaCodec {
  private static final byte NOTHING = 0;
  private static final byte REQUEST = 1;
  private static final byte GRANT = 2;
  private static final byte LEVELS = 3;

  private QuotaCodec() {}

  static void write(TCompactProtocol out, Optional<QuotaMessage> message) throws TException {
    switch (message.orElse(null)) {
      case null -> out.writeByte(NOTHING);
      case QuotaRequest request -> {
        out.writeByte(REQUEST);
        write(out, request);
      }
      case QuotaGrant grant -> {
        out.writeByte(GRANT);
        write(out, grant);
      }
      case QuotaLevels levels -> {
        out.writeByte(LEVELS);
        write(out, levels);
      }
    }
  }

  private static void write(TCompactProtocol out, QuotaRequest request) throws TException {
    out.writeI64(request.epoch());
    out.writeI64(request.sequence());
    out.writeI64(request.lentNanos());
    out.writeI32(request.nodes());
    out.writeListBegin(new TList(TType.STRUCT, request.demands().size()));
    for (QuotaRequest.Demand demand : request.demands()) {
      writeKey(out, demand.key());
      out.writeI64(demand.needed());
      out.writeI64(demand.minUseful());
      out.writeI64(demand.ahead());
      out.writeI64(demand.returned());
    }
  }

  private static void write(TCompactProtocol out, QuotaGrant grant) throws TException {
    out.writeI64(grant.epoch());
    out.writeI64(grant.sequence());
    out.writeListBegin(new TList(TType.STRUCT, grant.shares().size()));
    for (QuotaGrant.Share share : grant.shares()) {
      writeKey(out, share.key());
      out.writeI64(share.tokens());
      out.writeI64(share.left());
      out.writeI64(share.waitNanos());
    }
  }

  private static void write(TCompactProtocol out, QuotaLevels levels) throws TException {
    out.writeListBegin(new TList(TType.STRUCT, levels.left().size()));
    for (var e : levels.left().entrySet()) {
      writeKey(out, e.getKey());
      out.writeI64(e.getValue());
    }
  }

  static Optional<QuotaMessage> read(TCompactProtocol in) throws TException {
    byte kind = in.readByte();
    return switch (kind) {
      case NOTHING -> Optional.empty();
      case REQUEST -> Optional.of(readRequest(in));
      case GRANT -> Optional.of(readGrant(in));
      case LEVELS -> Optional.of(readLevels(in));
      default -> throw new IllegalArgumentException("unknown kind of quota message: " + kind);
    };
  }

  private static QuotaRequest readRequest(TCompactProtocol in) throws TException {
    final long epoch = in.readI64();
    final long sequence = in.readI64();
    final long lent = in.readI64();
    final int nodes = in.readI32();
    ImmutableList.Builder<QuotaRequest.Demand> demands = ImmutableList.builder();
    for (int i = PeerMessageCodec.size(in); i > 0; i--) {
      QuotaKey key = readKey(in);
      demands.add(
          new QuotaRequest.Demand(
              key, nonNegative(in), nonNegative(in), nonNegative(in), nonNegative(in)));
    }
    return new QuotaRequest(epoch, sequence, lent, nodes, demands.build());
  }

  private static QuotaGrant readGrant(TCompactProtocol in) throws TException {
    final long epoch = in.readI64();
    final long sequence = in.readI64();
    ImmutableList.Builder<QuotaGrant.Share> shares = ImmutableList.builder();
    for (int i = PeerMessageCodec.size(in); i > 0; i--) {
      QuotaKey key = readKey(in);
      shares.add(new QuotaGrant.Share(key, nonNegative(in), nonNegative(in), nonNegative(in)));
    }
    return new QuotaGrant(epoch, sequence, shares.build());
  }

  private static QuotaLevels readLevels(TCompactProtocol in) throws TException {
    ImmutableMap.Builder<QuotaKey, Long> left = ImmutableMap.builder();
    for (int i = PeerMessageCodec.size(in); i > 0; i--) {
      QuotaKey key = readKey(in);
      left.put(key, nonNegative(in));
    }
    return new QuotaLevels(left.buildKeepingLast());
  }

  private static void writeKey(TCompactProtocol out, QuotaKey key) throws TException {
    switch (key) {
      case QuotaKey.OfWorkspace w -> {
        out.writeBool(true);
        out.writeString(w.workspace().value());
      }
      case QuotaKey.OfUpstream u -> {
        out.writeBool(false);
        PeerMessageCodec.writeIncarnation(out, u.upstream());
      }
    }
  }

  private static QuotaKey readKey(TCompactProtocol in) throws TException {
    return in.readBool()
        ? new QuotaKey.OfWorkspace(new WorkspaceName(in.readString()))
        : new QuotaKey.OfUpstream(PeerMessageCodec.readIncarnation(in));
  }

  private static long nonNegative(TCompactProtocol in) throws TException {
    return Math.max(0, in.readI64());
  }
}
