/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import java.util.Set;
import java.util.function.Function;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TType;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.ReservationRequest;
import org.larkkeel.relay.ServiceName;

/**
 * Encodes and decodes, for each service with reservation requests in a report, the upstreams that
 * the sender would not choose now for any call.
 *
 * <p>The names of a service's engines and their incarnations, which are times, differ little. So
 * each name is written as the length that it shares with the one before and the rest, and each
 * incarnation as the difference to the one before. Stateless and thread-safe.
 */
final class NotEligibleCodec {
  private NotEligibleCodec() {}

  private static byte[] toBytes(
      ImmutableMap<ServiceName, ImmutableSet<UpstreamIncarnation>> upstreams) {
    return ExtensionBytes.write(
        out -> {
          out.writeListBegin(new TList(TType.STRUCT, upstreams.size()));
          for (var e : upstreams.entrySet()) {
            out.writeString(e.getKey().value());
            writeIncarnations(out, e.getValue());
          }
        });
  }

  /** Returns a report with the upstreams that its sender would not choose for its requests. */
  static PeerMessage add(
      PeerMessage report, Function<ServiceName, ImmutableSet<UpstreamIncarnation>> notEligible) {
    ImmutableMap.Builder<ServiceName, ImmutableSet<UpstreamIncarnation>> upstreams =
        ImmutableMap.builder();
    report.requests().stream()
        .map(ReservationRequest::service)
        .distinct()
        .forEach(service -> upstreams.put(service, notEligible.apply(service)));
    ImmutableMap<ServiceName, ImmutableSet<UpstreamIncarnation>> named =
        ImmutableMap.copyOf(Maps.filterValues(upstreams.buildOrThrow(), u -> !u.isEmpty()));
    return named.isEmpty()
        ? report
        : report.withExtension(ExtensionId.NOT_ELIGIBLE, toBytes(named));
  }

  /**
   * Returns the requests of a report, each with the upstreams that its node would not choose. A
   * node of an older version names them in the requests themselves.
   */
  static ImmutableList<ReservationRequest> requests(PeerMessage report) {
    ImmutableMap<ServiceName, ImmutableSet<UpstreamIncarnation>> upstreams =
        ExtensionBytes.read(report, ExtensionId.NOT_ELIGIBLE, NotEligibleCodec::read)
            .orElse(ImmutableMap.of());
    if (upstreams.isEmpty()) {
      return report.requests();
    }
    return report.requests().stream()
        .map(r -> r.withExcluded(upstreams.getOrDefault(r.service(), ImmutableSet.of())))
        .collect(ImmutableList.toImmutableList());
  }

  private static ImmutableMap<ServiceName, ImmutableSet<UpstreamIncarnation>> read(
      TCompactProtocol in) throws TException {
    ImmutableMap.Builder<ServiceName, ImmutableSet<UpstreamIncarnation>> upstreams =
        ImmutableMap.builder();
    for (int i = PeerMessageCodec.size(in); i > 0; i--) {
      ServiceName service = new ServiceName(in.readString());
      upstreams.put(service, readIncarnations(in));
    }
    return upstreams.buildKeepingLast();
  }

  private static void writeIncarnations(TCompactProtocol out, Set<UpstreamIncarnation> upstreams)
      throws TException {
    out.writeListBegin(new TList(TType.STRUCT, upstreams.size()));
    String previousName = "";
    long previousIncarnation = 0;
    for (UpstreamIncarnation upstream : upstreams) {
      String name = upstream.name().value();
      int shared = Strings.commonPrefix(previousName, name).length();
      out.writeI32(shared);
      out.writeString(name.substring(shared));
      out.writeI64(upstream.incarnation().value() - previousIncarnation);
      previousName = name;
      previousIncarnation = upstream.incarnation().value();
    }
  }

  private static ImmutableSet<UpstreamIncarnation> readIncarnations(TCompactProtocol in)
      throws TException {
    ImmutableSet.Builder<UpstreamIncarnation> upstreams = ImmutableSet.builder();
    String name = "";
    long incarnation = 0;
    for (int i = PeerMessageCodec.size(in); i > 0; i--) {
      name = name.substring(0, in.readI32()) + in.readString();
      incarnation += in.readI64();
      upstreams.add(new UpstreamIncarnation(new UpstreamName(name), new Incarnation(incarnation)));
    }
    return upstreams.build();
  }
}
