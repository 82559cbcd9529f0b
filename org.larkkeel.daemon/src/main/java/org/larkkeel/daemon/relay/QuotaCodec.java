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
import org.larkkeel.quota.QuotaMessage;

/**
 * The bytes of what nodes tell each other of quotas, as a part of a message.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class QuotaCodec {
  private static final byte NOTHING = 0;
  private static final byte ASK = 1;
  private static final byte GRANT = 2;
  private static final byte LEVELS = 3;

  private QuotaCodec() {}

  static void write(TCompactProtocol out, Optional<QuotaMessage> message) throws TException {
    switch (message.orElse(null)) {
      case null -> out.writeByte(NOTHING);
      case QuotaAsk ask -> {
        out.writeByte(ASK);
        write(out, ask);
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

  private static void write(TCompactProtocol out, QuotaAsk ask) throws TException {
    out.writeI64(ask.epoch());
    out.writeI64(ask.sequence());
    out.writeI64(ask.lentNanos());
    out.writeI32(ask.nodes());
    out.writeListBegin(new TList(TType.STRUCT, ask.wants().size()));
    for (QuotaAsk.Want w : ask.wants()) {
      writeKey(out, w.key());
      out.writeI64(w.needed());
      out.writeI64(w.least());
      out.writeI64(w.ahead());
      out.writeI64(w.returned());
    }
  }

  private static void write(TCompactProtocol out, QuotaGrant grant) throws TException {
    out.writeI64(grant.epoch());
    out.writeI64(grant.sequence());
    out.writeListBegin(new TList(TType.STRUCT, grant.shares().size()));
    for (QuotaGrant.Share s : grant.shares()) {
      writeKey(out, s.key());
      out.writeI64(s.tokens());
      out.writeI64(s.left());
      out.writeI64(s.waitNanos());
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
      case ASK -> Optional.of(readAsk(in));
      case GRANT -> Optional.of(readGrant(in));
      case LEVELS -> Optional.of(readLevels(in));
      default -> throw new IllegalArgumentException("no kind " + kind);
    };
  }

  private static QuotaAsk readAsk(TCompactProtocol in) throws TException {
    final long epoch = in.readI64();
    final long sequence = in.readI64();
    final long lent = in.readI64();
    final int nodes = in.readI32();
    ImmutableList.Builder<QuotaAsk.Want> wants = ImmutableList.builder();
    for (int i = PeerMessageCodec.size(in); i > 0; i--) {
      QuotaKey key = readKey(in);
      wants.add(new QuotaAsk.Want(key, natural(in), natural(in), natural(in), natural(in)));
    }
    return new QuotaAsk(epoch, sequence, lent, nodes, wants.build());
  }

  private static QuotaGrant readGrant(TCompactProtocol in) throws TException {
    final long epoch = in.readI64();
    final long sequence = in.readI64();
    ImmutableList.Builder<QuotaGrant.Share> shares = ImmutableList.builder();
    for (int i = PeerMessageCodec.size(in); i > 0; i--) {
      QuotaKey key = readKey(in);
      shares.add(new QuotaGrant.Share(key, natural(in), natural(in), natural(in)));
    }
    return new QuotaGrant(epoch, sequence, shares.build());
  }

  private static QuotaLevels readLevels(TCompactProtocol in) throws TException {
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
