/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.relay.RelayEffect;

/**
 * The giving side: what nodes report, what all of them have in flight, and the grants on their way.
 *
 * <p>Who gets room is the router's decision. Not safe for use by several threads.
 */
final class RoomServer {
  /** The least time between two tellings of sums. */
  static final long SUMS_NANOS = 60_000_000L;

  /** The longest time between two tellings of sums. */
  private static final long LONGEST_NANOS = 390_000_000L;

  /** How many requests more or less make sums worth telling. */
  private static final long WORTH_TELLING = 6;

  /** How long a report counts. */
  private static final long REPORT_NANOS = 1_500_000_000L;

  private final LongSupplier clock;
  private final BiConsumer<HostName, Answer> send;
  private final Map<HostName, Report> reports = new LinkedHashMap<>();
  private final Map<HostName, ImmutableList.Builder<RoomGrant>> grants = new LinkedHashMap<>();
  private ImmutableMap<UpstreamLife, Long> own = ImmutableMap.of();
  private ImmutableMap<UpstreamLife, Long> toldTotal = ImmutableMap.of();
  private long toldAt;

  /** What is told to a node. */
  sealed interface Answer {
    /** What all others have in flight. */
    record Sums(ImmutableMap<UpstreamLife, Long> loads, ImmutableSet<UpstreamLife> lapsing)
        implements Answer {}

    /** Room for calls of the node, if there is any. */
    record Grants(ImmutableList<RoomGrant> grants) implements Answer {}
  }

  private record Report(long at, PeerMessage message) {}

  RoomServer(LongSupplier clock, BiConsumer<HostName, Answer> send) {
    this.clock = clock;
    this.send = send;
  }

  /** Takes over what this node has in flight. */
  void own(ImmutableMap<UpstreamLife, Long> loads) {
    own = loads;
  }

  /** Takes a report in. */
  void reported(PeerMessage message) {
    reports.put(message.sender().node(), new Report(clock.getAsLong(), message));
  }

  /** Whether nodes report here, so that their loads are known one by one. */
  boolean isAsked() {
    forgetSilent();
    return !reports.isEmpty();
  }

  private void forgetSilent() {
    long now = clock.getAsLong();
    reports.values().removeIf(r -> now - r.at() > REPORT_NANOS);
  }

  /** Room was given to a call; its node is told with the next {@link #tellGrants}. */
  void grant(RelayEffect.GrantRoom grant) {
    grants
        .computeIfAbsent(grant.node(), n -> ImmutableList.builder())
        .add(new RoomGrant(grant.call(), grant.home(), grant.reader()));
  }

  /** Notes a node that is to hear that its asks were heard, if there is no room for any. */
  void acknowledge(HostName node) {
    grants.computeIfAbsent(node, n -> ImmutableList.builder());
  }

  /** Tells nodes of their grants, and nodes that asked that they were heard. */
  void tellGrants() {
    if (grants.isEmpty()) {
      return;
    }
    Map<HostName, ImmutableList.Builder<RoomGrant>> all = new LinkedHashMap<>(grants);
    grants.clear();
    all.forEach((node, given) -> send.accept(node, new Answer.Grants(given.build())));
  }

  /**
   * Tells each node that reports what all others have in flight, if that is news or the last time
   * is long ago; to be called every {@link #SUMS_NANOS}.
   */
  void tellSums() {
    forgetSilent();
    Map<UpstreamLife, Long> total = new HashMap<>(own);
    ImmutableSet.Builder<UpstreamLife> lapsing = ImmutableSet.builder();
    for (Report r : reports.values()) {
      r.message().loads().forEach((id, units) -> total.merge(id, units, Long::sum));
      lapsing.addAll(r.message().lapsing());
    }
    final ImmutableSet<UpstreamLife> lost = lapsing.build();
    long now = clock.getAsLong();
    if (now - toldAt < LONGEST_NANOS && changed(total) < WORTH_TELLING) {
      return;
    }
    toldAt = now;
    toldTotal = ImmutableMap.copyOf(total);
    for (Report r : reports.values()) {
      send.accept(
          r.message().sender().node(), new Answer.Sums(without(total, r.message().loads()), lost));
    }
  }

  /**
   * How many requests more or less there are at upstreams that count requests: what holds memory is
   * given out here, so that others need not know it at once.
   */
  private long changed(Map<UpstreamLife, Long> total) {
    long changed = 0;
    for (var e : total.entrySet()) {
      long before = toldTotal.getOrDefault(e.getKey(), 0L);
      if (e.getValue() < LoadChange.FEW && before < LoadChange.FEW) {
        changed += Math.abs(e.getValue() - before);
      }
    }
    return changed;
  }

  private static ImmutableMap<UpstreamLife, Long> without(
      Map<UpstreamLife, Long> total, ImmutableMap<UpstreamLife, Long> own) {
    ImmutableMap.Builder<UpstreamLife, Long> rest = ImmutableMap.builder();
    total.forEach(
        (id, units) -> {
          long others = units - own.getOrDefault(id, 0L);
          if (others > 0) {
            rest.put(id, others);
          }
        });
    return rest.buildOrThrow();
  }
}
