/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.Optional;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.Fingerprint;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.PromptKey;
import org.larkkeel.relay.RateWord;
import org.larkkeel.relay.RequestRate;
import org.larkkeel.relay.RoomAsk;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Suspect;
import org.larkkeel.store.StoreVersion;

/**
 * The bytes of messages between nodes, in Thrift's compact protocol.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class PeerMessageCodec {
  /** The largest message; what does not fit a datagram is not sent. */
  static final int MAX_BYTES = 60_000;

  private static final byte VERSION = 12;
  private static final int FIRST_BYTES = 256;
  private static final int MAX_ITEMS = 10_000;

  private PeerMessageCodec() {}

  static byte[] toBytes(PeerMessage message) {
    try {
      TMemoryBuffer buffer = new TMemoryBuffer(FIRST_BYTES);
      write(new TCompactProtocol(buffer), message);
      byte[] bytes = new byte[buffer.length()];
      System.arraycopy(buffer.getArray(), 0, bytes, 0, bytes.length);
      return bytes;
    } catch (TException e) {
      throw new IllegalStateException("a message to memory can not fail", e);
    }
  }

  /** Reads a message; empty if it is none. */
  static Optional<PeerMessage> fromBytes(byte[] bytes) {
    try {
      TCompactProtocol in = new TCompactProtocol(new TMemoryInputTransport(bytes));
      return in.readByte() == VERSION ? Optional.of(read(in)) : Optional.empty();
    } catch (TException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static void write(TCompactProtocol out, PeerMessage m) throws TException {
    out.writeByte(VERSION);
    out.writeByte((byte) m.kind().ordinal());
    PeerMessage.Sender sender = m.sender();
    out.writeString(sender.node().value());
    out.writeString(sender.place().value());
    out.writeByte((byte) sender.state().ordinal());
    writeVersion(out, sender.changes().configurations());
    writeVersion(out, sender.changes().upstreams());
    out.writeListBegin(new TList(TType.STRUCT, sender.rates().size()));
    for (RateWord word : sender.rates()) {
      writeLife(out, word.life());
      out.writeI64(word.limit().map(RequestRate::thousandths).orElse(0L));
      out.writeI64(word.ageNanos());
    }
    out.writeListBegin(new TList(TType.STRUCT, m.loads().size()));
    for (var e : m.loads().entrySet()) {
      writeLife(out, e.getKey());
      out.writeI64(e.getValue());
    }
    writeLives(out, m.lapsing());
    out.writeListBegin(new TList(TType.STRUCT, m.asks().size()));
    for (RoomAsk ask : m.asks()) {
      writeAsk(out, ask);
    }
    out.writeListBegin(new TList(TType.STRUCT, m.grants().size()));
    for (RoomGrant grant : m.grants()) {
      out.writeI64(grant.call().value());
      writeLife(out, grant.home());
      writeLives(out, grant.reader().stream().toList());
    }
    out.writeListBegin(new TList(TType.STRUCT, m.suspects().size()));
    for (Suspect suspect : m.suspects()) {
      writeSuspect(out, suspect);
    }
    QuotaCodec.write(out, m.quota());
  }

  private static void writeSuspect(TCompactProtocol out, Suspect suspect) throws TException {
    out.writeI64(suspect.request().high());
    out.writeI64(suspect.request().low());
    out.writeI32(suspect.epoch());
    out.writeListBegin(new TList(TType.STRUCT, suspect.ends().size()));
    for (var end : suspect.ends().entrySet()) {
      writeLife(out, end.getKey());
      out.writeI64(end.getValue());
    }
  }

  private static void writeLives(TCompactProtocol out, Collection<UpstreamLife> lives)
      throws TException {
    out.writeListBegin(new TList(TType.STRUCT, lives.size()));
    for (UpstreamLife life : lives) {
      writeLife(out, life);
    }
  }

  static void writeLife(TCompactProtocol out, UpstreamLife life) throws TException {
    out.writeString(life.name().value());
    out.writeI64(life.start().value());
  }

  private static void writeAsk(TCompactProtocol out, RoomAsk ask) throws TException {
    out.writeI64(ask.call().value());
    out.writeString(ask.wireId());
    out.writeString(ask.service().value());
    out.writeI64(ask.units());
    out.writeI64(ask.prompt());
    out.writeBool(ask.fresh());
    out.writeBool(ask.begun());
    out.writeI64(ask.waitedMillis());
    out.writeI64(ask.targetMillis());
    out.writeString(ask.key().value());
    writeLives(out, ask.without());
  }

  private static PeerMessage read(TCompactProtocol in) throws TException {
    final PeerMessage.Kind kind = constant(PeerMessage.Kind.values(), in.readByte());
    final HostName node = new HostName(in.readString());
    final DataCentreName place = new DataCentreName(in.readString());
    final NodeState state = constant(NodeState.values(), in.readByte());
    final FeedChanges changes = new FeedChanges(readVersion(in), readVersion(in));
    ImmutableList.Builder<RateWord> rates = ImmutableList.builder();
    for (int i = size(in); i > 0; i--) {
      rates.add(readRate(in));
    }
    ImmutableMap.Builder<UpstreamLife, Long> loads = ImmutableMap.builder();
    for (int i = size(in); i > 0; i--) {
      UpstreamLife upstream = readLife(in);
      loads.put(upstream, Math.max(0, in.readI64()));
    }
    final ImmutableSet<UpstreamLife> lapsing = readLives(in);
    ImmutableList.Builder<RoomAsk> asks = ImmutableList.builder();
    for (int i = size(in); i > 0; i--) {
      asks.add(readAsk(in));
    }
    ImmutableList.Builder<RoomGrant> grants = ImmutableList.builder();
    for (int i = size(in); i > 0; i--) {
      grants.add(readGrant(in));
    }
    ImmutableList.Builder<Suspect> suspects = ImmutableList.builder();
    for (int i = size(in); i > 0; i--) {
      suspects.add(readSuspect(in));
    }
    return new PeerMessage(
        kind,
        new PeerMessage.Sender(node, place, state, changes, rates.build()),
        loads.buildKeepingLast(),
        lapsing,
        asks.build(),
        grants.build(),
        suspects.build(),
        QuotaCodec.read(in));
  }

  private static Suspect readSuspect(TCompactProtocol in) throws TException {
    final Fingerprint request = new Fingerprint(in.readI64(), in.readI64());
    final int epoch = in.readI32();
    ImmutableMap.Builder<UpstreamLife, Long> ends = ImmutableMap.builder();
    for (int i = size(in); i > 0; i--) {
      UpstreamLife life = readLife(in);
      ends.put(life, in.readI64());
    }
    return new Suspect(request, epoch, ends.buildKeepingLast());
  }

  private static <T> T constant(T[] all, byte ordinal) {
    if (ordinal < 0 || ordinal >= all.length) {
      throw new IllegalArgumentException("no constant " + ordinal);
    }
    return all[ordinal];
  }

  /** The length of a list, within bounds. */
  static int size(TCompactProtocol in) throws TException {
    int size = in.readListBegin().size;
    if (size < 0 || size > MAX_ITEMS) {
      throw new IllegalArgumentException(size + " items");
    }
    return size;
  }

  private static ImmutableSet<UpstreamLife> readLives(TCompactProtocol in) throws TException {
    ImmutableSet.Builder<UpstreamLife> lives = ImmutableSet.builder();
    for (int i = size(in); i > 0; i--) {
      lives.add(readLife(in));
    }
    return lives.build();
  }

  static UpstreamLife readLife(TCompactProtocol in) throws TException {
    UpstreamName name = new UpstreamName(in.readString());
    return new UpstreamLife(name, new Incarnation(in.readI64()));
  }

  private static void writeVersion(TCompactProtocol out, StoreVersion version) throws TException {
    out.writeI64(version.era());
    out.writeI64(version.number());
  }

  private static StoreVersion readVersion(TCompactProtocol in) throws TException {
    return new StoreVersion(in.readI64(), in.readI64());
  }

  private static RateWord readRate(TCompactProtocol in) throws TException {
    UpstreamLife life = readLife(in);
    long thousandths = in.readI64();
    Optional<RequestRate> limit =
        thousandths > 0 ? Optional.of(new RequestRate(thousandths)) : Optional.empty();
    return new RateWord(life, limit, Math.max(0, in.readI64()));
  }

  private static RoomAsk readAsk(TCompactProtocol in) throws TException {
    return new RoomAsk(
        new RequestId(in.readI64()),
        in.readString(),
        new ServiceName(in.readString()),
        in.readI64(),
        in.readI64(),
        in.readBool(),
        in.readBool(),
        in.readI64(),
        in.readI64(),
        new PromptKey(in.readString()),
        readLives(in));
  }

  private static RoomGrant readGrant(TCompactProtocol in) throws TException {
    RequestId call = new RequestId(in.readI64());
    UpstreamLife home = readLife(in);
    return new RoomGrant(call, home, readLives(in).stream().findFirst());
  }
}
