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
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.quota.QuotaMessage;
import org.larkkeel.quota.QuotaRequest;
import org.larkkeel.relay.CrashSuspect;
import org.larkkeel.relay.PromptKey;
import org.larkkeel.relay.RateLimitReport;
import org.larkkeel.relay.RequestRate;
import org.larkkeel.relay.ReservationRequest;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.SuspectScope;
import org.larkkeel.store.StoreVersion;

/**
 * Encodes and decodes messages between nodes in Thrift's compact protocol.
 *
 * <p>Stateless and thread-safe.
 */
final class PeerMessageCodec {
  /** The maximum size of a message; larger ones do not fit a datagram and are not sent. */
  static final int MAX_BYTES = 60_000;

  private static final byte VERSION = 12;
  private static final int INITIAL_BYTES = 256;
  private static final int MAX_ITEMS = 10_000;

  private PeerMessageCodec() {}

  /** Encodes a message, without extensions if it does not fit a datagram with them. */
  static byte[] toBytes(PeerMessage message) {
    MessageExtensions extensions =
        with(
            with(
                RequestExtensions.of(message),
                ExtensionId.URGENT_DEMANDS,
                UrgentDemandsCodec.toBytes(message.quota())),
            ExtensionId.SUSPECT_DETAILS,
            SuspectDetailsCodec.toBytes(message.suspects()));
    byte[] bytes = encode(message, extensions);
    return bytes.length > MAX_BYTES ? encode(message, MessageExtensions.NONE) : bytes;
  }

  private static MessageExtensions with(
      MessageExtensions extensions, ExtensionId id, Optional<byte[]> content) {
    return content.map(b -> extensions.with(id, b)).orElse(extensions);
  }

  private static byte[] encode(PeerMessage message, MessageExtensions extensions) {
    try {
      TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BYTES);
      TCompactProtocol out = new TCompactProtocol(buffer);
      write(out, message);
      extensions.write(out);
      byte[] bytes = new byte[buffer.length()];
      System.arraycopy(buffer.getArray(), 0, bytes, 0, bytes.length);
      return bytes;
    } catch (TException e) {
      throw new IllegalStateException("writing a message to memory failed", e);
    }
  }

  /** Decodes a message; empty if the bytes are malformed or of another protocol version. */
  static Optional<PeerMessage> fromBytes(byte[] bytes) {
    return fromBytes(bytes, bytes.length);
  }

  /**
   * Decodes a message as {@link #fromBytes(byte[])} does.
   *
   * @param buffer holds the message from its beginning; it is not kept
   * @param length the length of the message in bytes
   */
  static Optional<PeerMessage> fromBytes(byte[] buffer, int length) {
    try {
      TCompactProtocol in = new TCompactProtocol(new TMemoryInputTransport(buffer, 0, length));
      return in.readByte() == VERSION ? Optional.of(read(in)) : Optional.empty();
    } catch (TException | IllegalArgumentException | IndexOutOfBoundsException e) {
      // Thrift reads a number of more than ten bytes beyond the end of its buffer.
      return Optional.empty();
    }
  }

  private static void write(TCompactProtocol out, PeerMessage m) throws TException {
    out.writeByte(VERSION);
    out.writeByte((byte) m.kind().ordinal());
    PeerMessage.Sender sender = m.sender();
    out.writeString(sender.node().value());
    out.writeString(sender.dataCentre().value());
    out.writeByte((byte) sender.state().ordinal());
    writeVersion(out, sender.changes().configurations());
    writeVersion(out, sender.changes().upstreams());
    out.writeListBegin(new TList(TType.STRUCT, sender.rateLimits().size()));
    for (RateLimitReport rateLimit : sender.rateLimits()) {
      writeIncarnation(out, rateLimit.upstream());
      out.writeI64(rateLimit.limit().map(RequestRate::thousandths).orElse(0L));
      out.writeI64(rateLimit.ageNanos());
    }
    out.writeListBegin(new TList(TType.STRUCT, m.loads().size()));
    for (var e : m.loads().entrySet()) {
      writeIncarnation(out, e.getKey());
      out.writeI64(e.getValue());
    }
    writeIncarnations(out, m.losingHandles());
    out.writeListBegin(new TList(TType.STRUCT, m.requests().size()));
    for (ReservationRequest request : m.requests()) {
      writeRequest(out, request);
    }
    out.writeListBegin(new TList(TType.STRUCT, m.grants().size()));
    for (ReservationGrant grant : m.grants()) {
      out.writeI64(grant.call().value());
      writeIncarnation(out, grant.reservedUpstream());
      writeIncarnations(out, grant.prefillUpstream().stream().toList());
    }
    out.writeListBegin(new TList(TType.STRUCT, m.suspects().size()));
    for (CrashSuspect suspect : m.suspects()) {
      writeSuspect(out, suspect);
    }
    QuotaCodec.write(out, m.quota());
  }

  private static void writeSuspect(TCompactProtocol out, CrashSuspect suspect) throws TException {
    out.writeI64(suspect.id().high());
    out.writeI64(suspect.id().low());
    out.writeI32(suspect.clearanceEpoch());
    out.writeListBegin(new TList(TType.STRUCT, suspect.crashes().size()));
    for (var end : suspect.crashes().entrySet()) {
      writeIncarnation(out, end.getKey());
      out.writeI64(end.getValue().ageNanos());
    }
  }

  private static void writeIncarnations(
      TCompactProtocol out, Collection<UpstreamIncarnation> incarnations) throws TException {
    out.writeListBegin(new TList(TType.STRUCT, incarnations.size()));
    for (UpstreamIncarnation incarnation : incarnations) {
      writeIncarnation(out, incarnation);
    }
  }

  static void writeIncarnation(TCompactProtocol out, UpstreamIncarnation incarnation)
      throws TException {
    out.writeString(incarnation.name().value());
    out.writeI64(incarnation.incarnation().value());
  }

  private static void writeRequest(TCompactProtocol out, ReservationRequest request)
      throws TException {
    out.writeI64(request.call().value());
    out.writeString(request.wireId());
    out.writeString(request.service().value());
    out.writeI64(request.units());
    out.writeI64(request.prompt());
    out.writeBool(request.firstTry());
    out.writeBool(request.streaming());
    out.writeI64(request.waitedMillis());
    out.writeI64(request.targetMillis());
    out.writeString(request.promptKey().value());
    writeIncarnations(out, request.excluded());
  }

  private static PeerMessage read(TCompactProtocol in) throws TException {
    final PeerMessage.Kind kind = constant(PeerMessage.Kind.values(), in.readByte());
    final HostName node = new HostName(in.readString());
    final DataCentreName dataCentre = new DataCentreName(in.readString());
    final NodeState state = constant(NodeState.values(), in.readByte());
    final FeedChanges changes = new FeedChanges(readVersion(in), readVersion(in));
    ImmutableList.Builder<RateLimitReport> rateLimits = ImmutableList.builder();
    for (int i = size(in); i > 0; i--) {
      rateLimits.add(readRateLimit(in));
    }
    ImmutableMap.Builder<UpstreamIncarnation, Long> loads = ImmutableMap.builder();
    for (int i = size(in); i > 0; i--) {
      UpstreamIncarnation upstream = readIncarnation(in);
      loads.put(upstream, Math.max(0, in.readI64()));
    }
    final ImmutableSet<UpstreamIncarnation> losingHandles = readIncarnations(in);
    ImmutableList.Builder<ReservationRequest> requests = ImmutableList.builder();
    for (int i = size(in); i > 0; i--) {
      requests.add(readRequest(in));
    }
    ImmutableList.Builder<ReservationGrant> grants = ImmutableList.builder();
    for (int i = size(in); i > 0; i--) {
      grants.add(readGrant(in));
    }
    ImmutableList.Builder<CrashSuspect> suspects = ImmutableList.builder();
    for (int i = size(in); i > 0; i--) {
      suspects.add(readSuspect(in));
    }
    final Optional<QuotaMessage> quota = QuotaCodec.read(in);
    final MessageExtensions extensions = MessageExtensions.read(in);
    return new PeerMessage(
        kind,
        new PeerMessage.Sender(node, dataCentre, state, changes, rateLimits.build()),
        loads.buildKeepingLast(),
        losingHandles,
        RequestExtensions.apply(extensions, requests.build()),
        grants.build(),
        withDetails(suspects.build(), extensions),
        quota.map(q -> withUrgentDemands(q, extensions)),
        RequestExtensions.without(extensions)
            .without(ExtensionId.URGENT_DEMANDS)
            .without(ExtensionId.SUSPECT_DETAILS));
  }

  private static ImmutableList<CrashSuspect> withDetails(
      ImmutableList<CrashSuspect> suspects, MessageExtensions extensions) {
    return extensions
        .parse(ExtensionId.SUSPECT_DETAILS, bytes -> SuspectDetailsCodec.apply(bytes, suspects))
        .orElse(suspects);
  }

  private static QuotaMessage withUrgentDemands(QuotaMessage quota, MessageExtensions extensions) {
    Optional<byte[]> urgent = extensions.get(ExtensionId.URGENT_DEMANDS);
    if (urgent.isEmpty() || !(quota instanceof QuotaRequest request)) {
      return quota;
    }
    try {
      QuotaRequest complete = UrgentDemandsCodec.apply(urgent.get(), request);
      ExtensionCounts.PROCESS.read(ExtensionId.URGENT_DEMANDS);
      return complete;
    } catch (TException | IllegalArgumentException | IndexOutOfBoundsException e) {
      MessageExtensions.reportMalformed(ExtensionId.URGENT_DEMANDS, e);
      return quota;
    }
  }

  private static CrashSuspect readSuspect(TCompactProtocol in) throws TException {
    final Fingerprint id = new Fingerprint(in.readI64(), in.readI64());
    final int epoch = in.readI32();
    ImmutableMap.Builder<UpstreamIncarnation, CrashSuspect.Crash> crashes = ImmutableMap.builder();
    for (int i = size(in); i > 0; i--) {
      UpstreamIncarnation incarnation = readIncarnation(in);
      long age = in.readI64();
      crashes.put(incarnation, new CrashSuspect.Crash(age, age));
    }
    return new CrashSuspect(
        id, SuspectScope.REQUEST, epoch, crashes.buildKeepingLast(), ImmutableSet.of());
  }

  /** Returns the constant with an ordinal. */
  static <T> T constant(T[] values, byte ordinal) {
    if (ordinal < 0 || ordinal >= values.length) {
      throw new IllegalArgumentException("unknown enum ordinal " + ordinal);
    }
    return values[ordinal];
  }

  /** Reads the length of a list and checks it against the maximum. */
  static int size(TCompactProtocol in) throws TException {
    return checkedSize(in.readListBegin().size, MAX_ITEMS);
  }

  /** Checks the length of a list against a maximum and returns it. */
  static int checkedSize(int size, int maximum) {
    if (size < 0 || size > maximum) {
      throw new IllegalArgumentException(size + " is not a valid list size");
    }
    return size;
  }

  private static ImmutableSet<UpstreamIncarnation> readIncarnations(TCompactProtocol in)
      throws TException {
    ImmutableSet.Builder<UpstreamIncarnation> incarnations = ImmutableSet.builder();
    for (int i = size(in); i > 0; i--) {
      incarnations.add(readIncarnation(in));
    }
    return incarnations.build();
  }

  static UpstreamIncarnation readIncarnation(TCompactProtocol in) throws TException {
    UpstreamName name = new UpstreamName(in.readString());
    return new UpstreamIncarnation(name, new Incarnation(in.readI64()));
  }

  private static void writeVersion(TCompactProtocol out, StoreVersion version) throws TException {
    out.writeI64(version.era());
    out.writeI64(version.number());
  }

  private static StoreVersion readVersion(TCompactProtocol in) throws TException {
    return new StoreVersion(in.readI64(), in.readI64());
  }

  private static RateLimitReport readRateLimit(TCompactProtocol in) throws TException {
    UpstreamIncarnation incarnation = readIncarnation(in);
    long thousandths = in.readI64();
    Optional<RequestRate> limit =
        thousandths > 0 ? Optional.of(new RequestRate(thousandths)) : Optional.empty();
    return new RateLimitReport(incarnation, limit, Math.max(0, in.readI64()));
  }

  private static ReservationRequest readRequest(TCompactProtocol in) throws TException {
    return new ReservationRequest(
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
        readIncarnations(in));
  }

  private static ReservationGrant readGrant(TCompactProtocol in) throws TException {
    RequestId call = new RequestId(in.readI64());
    UpstreamIncarnation reservedUpstream = readIncarnation(in);
    return new ReservationGrant(call, reservedUpstream, readIncarnations(in).stream().findFirst());
  }
}
