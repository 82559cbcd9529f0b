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
import org.larkkeel.quota.QuotaAsk;
import org.larkkeel.quota.QuotaGrant;
import org.larkkeel.quota.QuotaKey;
import org.larkkeel.quota.QuotaLevels;

/**
 * The bytes of asks and grants of quotas, as parts of a message between nodes.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class QuotaCodec {
  private QuotaCodec() {}

  static void writeAsk(TCompactProtocol out, Optional<QuotaAsk> ask) throws TException {
    out.writeBool(ask.isPresent());
    if (ask.isEmpty()) {
      return;
    }
    QuotaAsk a = ask.get();
    out.writeI64(a.epoch());
    out.writeI64(a.sequence());
    out.writeI64(a.lentNanos());
    out.writeI32(a.nodes());
    out.writeListBegin(new TList(TType.STRUCT, a.wants().size()));
    for (QuotaAsk.Want w : a.wants()) {
      writeKey(out, w.key());
      out.writeI64(w.needed());
      out.writeI64(w.least());
      out.writeI64(w.ahead());
      out.writeI64(w.returned());
    }
  }

  static Optional<QuotaAsk> readAsk(TCompactProtocol in) throws TException {
    if (!in.readBool()) {
      return Optional.empty();
    }
    final long epoch = in.readI64();
    final long sequence = in.readI64();
    final long lent = in.readI64();
    final int nodes = in.readI32();
    ImmutableList.Builder<QuotaAsk.Want> wants = ImmutableList.builder();
    for (int i = PeerMessageCodec.size(in); i > 0; i--) {
      QuotaKey key = readKey(in);
      wants.add(new QuotaAsk.Want(key, natural(in), natural(in), natural(in), natural(in)));
    }
    return Optional.of(new QuotaAsk(epoch, sequence, lent, nodes, wants.build()));
  }

  static void writeGrant(TCompactProtocol out, Optional<QuotaGrant> grant) throws TException {
    out.writeBool(grant.isPresent());
    if (grant.isEmpty()) {
      return;
    }
    QuotaGrant g = grant.get();
    out.writeI64(g.epoch());
    out.writeI64(g.sequence());
    out.writeListBegin(new TList(TType.STRUCT, g.shares().size()));
    for (QuotaGrant.Share s : g.shares()) {
      writeKey(out, s.key());
      out.writeI64(s.tokens());
      out.writeI64(s.left());
      out.writeI64(s.waitNanos());
    }
  }

  static Optional<QuotaGrant> readGrant(TCompactProtocol in) throws TException {
    if (!in.readBool()) {
      return Optional.empty();
    }
    final long epoch = in.readI64();
    final long sequence = in.readI64();
    ImmutableList.Builder<QuotaGrant.Share> shares = ImmutableList.builder();
    for (int i = PeerMessageCodec.size(in); i > 0; i--) {
      QuotaKey key = readKey(in);
      shares.add(new QuotaGrant.Share(key, natural(in), natural(in), natural(in)));
    }
    return Optional.of(new QuotaGrant(epoch, sequence, shares.build()));
  }

  static void writeLevels(TCompactProtocol out, QuotaLevels levels) throws TException {
    out.writeListBegin(new TList(TType.STRUCT, levels.left().size()));
    for (var e : levels.left().entrySet()) {
      writeKey(out, e.getKey());
      out.writeI64(e.getValue());
    }
  }

  static QuotaLevels readLevels(TCompactProtocol in) throws TException {
    ImmutableMap.Builder<QuotaKey, Long> left = ImmutableMap.builder();
    for (int i = PeerMessageCodec.size(in); i > 0; i--) {
      QuotaKey key = readKey(in);
      left.put(key, natural(in));
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
        PeerMessageCodec.writeLife(out, u.life());
      }
    }
  }

  private static QuotaKey readKey(TCompactProtocol in) throws TException {
    return in.readBool()
        ? new QuotaKey.OfWorkspace(new WorkspaceName(in.readString()))
        : new QuotaKey.OfUpstream(PeerMessageCodec.readLife(in));
  }

  private static long natural(TCompactProtocol in) throws TException {
    return Math.max(0, in.readI64());
  }
}
