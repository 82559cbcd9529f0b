/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.BuildHistory;
import org.larkkeel.relay.BuildName;
import org.larkkeel.relay.CallKind;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.StreamBuild;
import org.larkkeel.relay.StreamId;
import org.larkkeel.relay.StreamLookup;

/**
 * Keeps each stream at the build of upstreams that began it.
 *
 * <p>Once a stream has begun, its call accepts upstreams of its build only, whatever the reason for
 * another attempt; {@link CallState#accepts} compares the builds at each choice. For callers that
 * take a stream up at another node, the build is recorded at a few other nodes; a call waits
 * shortly for their answer. Where only one build has served for as long as a stream can last,
 * nothing is sent and no call waits.
 *
 * <p>Invariant: a call whose caller has events of a build is sent to upstreams of that build only.
 * Not thread-safe.
 */
final class StreamBuilds {
  private static final long MILLI = 1_000_000L;

  /** The time for which a stream can be taken up; callers wait for less. */
  private static final long LIFE_NANOS = 30_000 * MILLI;

  /** The tolerated difference between the clocks of upstreams and of this node. */
  private static final long CLOCK_TOLERANCE_NANOS = 1_000 * MILLI;

  /** The time since its last event for which a stream is taken for running. */
  private static final long LIVE_NANOS = 300 * MILLI;

  /** The time for which a new build begins no streams unless the store has recorded it. */
  private static final long MAX_RECORD_WAIT_NANOS = 1_000 * MILLI;

  private static final int MAX_RECORDS = 50_000;

  private final Core core;

  /** The streams that began here or were told by other nodes, the oldest first. */
  private final Map<StreamId, RecordedStream> records = new LinkedHashMap<>();

  private final Map<ServiceName, ServedBuilds> services = new HashMap<>();

  /**
   * A stream that is known here.
   *
   * @param stream the stream and its build
   * @param at when it began, or was told by another node
   * @param writer the incarnation at which it began, by its entry; empty if another node told it
   * @param fromStore whether it was read from the store
   */
  private record RecordedStream(
      StreamBuild stream, long at, Optional<UpstreamIncarnation> writer, boolean fromStore) {
    boolean isOwn() {
      return writer.isPresent();
    }
  }

  StreamBuilds(Core core) {
    this.core = core;
  }

  /**
   * Handles a change of the discovery list.
   *
   * @param at now
   * @param afterGap whether builds may have come and gone since the previous change
   */
  void upstreamsChanged(long at, boolean afterGap) {
    if (afterGap) {
      core.buildHistory.gap();
      services.forEach(
          (service, builds) -> {
            builds.gap(at);
            emitBuilds(at, service, builds, false);
            core.timers.add(new Timers.Timer.BuildReview(reviewAt(at), service));
          });
    }
    Map<ServiceName, Set<BuildName>> listed = new HashMap<>();
    Map<ServiceName, Set<BuildName>> usable = new HashMap<>();
    for (UpstreamState s : core.upstreams.all()) {
      if (s.upstream().stage().runsCalls() && !s.isMissing()) {
        add(listed, s);
        if (!s.isLeaving()) {
          add(usable, s);
        }
      }
    }
    listed.keySet().forEach(n -> builds(at, n));
    services.keySet().forEach(n -> update(at, n, of(listed, n), of(usable, n)));
  }

  private static void add(Map<ServiceName, Set<BuildName>> builds, UpstreamState s) {
    builds.computeIfAbsent(s.upstream().service(), n -> new HashSet<>()).add(s.upstream().build());
  }

  private static Set<BuildName> of(Map<ServiceName, Set<BuildName>> builds, ServiceName service) {
    return builds.getOrDefault(service, Set.of());
  }

  /** Returns the builds of a service. */
  ServedBuilds builds(long at, ServiceName service) {
    return services.computeIfAbsent(
        service, n -> new ServedBuilds(at, LIFE_NANOS, core.settings.missingNanos()));
  }

  private void update(long at, ServiceName service, Set<BuildName> listed, Set<BuildName> usable) {
    ServedBuilds builds = services.get(service);
    final boolean isOther = !builds.isListed(listed);
    ImmutableSet<BuildName> before = builds.all(at);
    ImmutableSet<BuildName> added = builds.update(at, listed, usable);
    ImmutableSet<BuildName> now = builds.all(at);
    if (before.size() <= 1 && now.size() > 1) {
      recordAll(at, service);
    }
    if (!added.isEmpty()) {
      core.timers.add(new Timers.Timer.BuildRecordTimeout(at + MAX_RECORD_WAIT_NANOS, service));
    }
    if (!now.equals(before)) {
      emitBuilds(at, service, builds, !added.isEmpty());
    }
    if (isOther) {
      // By then no stream of a build that has left can go on, and this node's knowledge is
      // complete.
      core.timers.add(new Timers.Timer.BuildReview(reviewAt(at), service));
    }
  }

  private long reviewAt(long at) {
    return at + LIFE_NANOS + core.settings.missingNanos() + 1;
  }

  private void emitBuilds(long at, ServiceName service, ServedBuilds builds, boolean awaited) {
    ImmutableSet<BuildName> all = builds.all(at);
    if (all.stream().anyMatch(b -> !b.equals(BuildName.UNKNOWN))) {
      core.emit(new RelayEffect.RecordBuilds(service, all, builds.isComplete(at), awaited));
    }
  }

  /** Tells the store which builds have served, of which some may be over by now. */
  void review(long at, ServiceName service) {
    emitBuilds(at, service, services.get(service), false);
  }

  /** Handles that builds were recorded in the store; returns whether more upstreams may begin. */
  boolean buildsRecorded(ServiceName service, ImmutableSet<BuildName> recorded) {
    ServedBuilds builds = services.get(service);
    return builds != null && builds.recorded(recorded);
  }

  /**
   * Handles the end of the wait for new builds to be recorded. While the store does not answer, no
   * further build is listed, so that a build which leaves again unrecorded is next to impossible.
   */
  boolean recordTimedOut(ServiceName service) {
    return services.get(service).allowUnrecorded();
  }

  /** Adds what the store tells of the time before this node followed the list. */
  void remember(long at, BuildHistory history, List<StreamBuild> streams) {
    history.builds().forEach((service, all) -> remember(at, service, all));
    for (StreamBuild s : streams) {
      if (!records.containsKey(s.stream()) && records.size() < MAX_RECORDS) {
        record(at, new RecordedStream(s, at, Optional.empty(), true));
      }
    }
  }

  private void remember(long at, ServiceName service, Set<BuildName> served) {
    ServedBuilds builds = builds(at, service);
    if (builds.isComplete(at)) {
      return;
    }
    final boolean wereSeveral = builds.all(at).size() > 1;
    builds.remember(at, served);
    if (!wereSeveral && builds.all(at).size() > 1) {
      recordAll(at, service);
    }
    core.timers.add(new Timers.Timer.BuildReview(reviewAt(at), service));
  }

  /** Returns whether this node does not know which builds have served a service before. */
  boolean lacksHistory(long at, ServiceName service) {
    ServedBuilds builds = services.get(service);
    return builds == null || !builds.isComplete(at);
  }

  /** Returns whether this node does not know which builds have served some service before. */
  boolean lacksHistory(long at) {
    return services.keySet().stream().anyMatch(s -> lacksHistory(at, s));
  }

  /** Returns whether the build of a stream is known from the store. */
  boolean isFromStore(StreamId stream) {
    RecordedStream r = records.get(stream);
    return r != null && r.fromStore();
  }

  /** Fails the calls that wait for memory at upstreams of their build, none of which is left. */
  void failHopelessCalls(long at) {
    for (CallState c : core.openCalls.all()) {
      if (c.build != null && c.awaitsReservation && isHopeless(at, c)) {
        failHopeless(at, c);
      }
    }
  }

  /**
   * Handles upstreams that restarted as another build.
   *
   * <p>The streams that began there shortly before the start, or after it, may be of either build:
   * the upstream took requests before its entry told of the restart. So may one that is not silent.
   * They run to their end, and are not continued anywhere.
   *
   * @param at now
   * @param change the change that told of the restarts
   * @param ended the incarnations that ended
   */
  void restarted(long at, RelayEvent.UpstreamsChanged change, List<UpstreamState> ended) {
    for (UpstreamState s : ended) {
      core.upstreams
          .find(s.upstream().name())
          .map(UpstreamState::upstream)
          .filter(next -> !next.build().equals(s.upstream().build()))
          .ifPresent(next -> restartedAs(at, change.startedAt(next.incarnation()), s));
    }
  }

  private void restartedAs(long at, long startedAt, UpstreamState ended) {
    for (CallState c : core.openCalls.all()) {
      if (c.attempt != null
          && c.attempt.upstream() == ended
          && c.lastEventAt != Long.MIN_VALUE
          && (c.attemptFirstEventAt + CLOCK_TOLERANCE_NANOS >= startedAt
              || at - c.lastEventAt <= LIVE_NANOS)) {
        c.build = BuildName.UNKNOWN;
        c.mayBeOfNextIncarnation = true;
        core.report(
            new RelayFact.WriterUnknown(
                c.call.wireId(),
                c.attempt.id(),
                ended.incarnation(),
                at - startedAt,
                at - c.attemptFirstEventAt,
                at - c.lastEventAt));
        streamOf(c).map(records::get).ifPresent(this::forgetBuild);
      }
    }
    List.copyOf(records.values()).stream()
        .filter(r -> r.writer().filter(ended.incarnation()::equals).isPresent())
        .filter(r -> r.at() + CLOCK_TOLERANCE_NANOS >= startedAt)
        .forEach(this::forgetBuild);
  }

  /** Replaces the build of a stream by none, here and at other nodes. */
  private void forgetBuild(RecordedStream r) {
    StreamBuild none =
        new StreamBuild(r.stream().stream(), r.stream().service(), BuildName.UNKNOWN);
    records.replace(none.stream(), new RecordedStream(none, r.at(), r.writer(), false));
    core.emit(new RelayEffect.RecordStream(none));
  }

  /** Tells other nodes of the streams that began here while there was one build. */
  private void recordAll(long at, ServiceName service) {
    for (RecordedStream r : records.values()) {
      if (r.isOwn() && r.stream().service().equals(service) && at - r.at() <= LIFE_NANOS) {
        core.emit(new RelayEffect.RecordStream(r.stream()));
      }
    }
  }

  /** Handles the first event of an attempt. */
  void began(long at, CallState c, UpstreamState upstream) {
    if (c.build == null) {
      c.build = upstream.upstream().build();
    }
    if (c.rule.kind() != CallKind.RESUMABLE_STREAM) {
      return;
    }
    streamOf(c)
        .map(id -> new StreamBuild(id, c.service, c.build))
        .ifPresent(
            stream -> {
              record(
                  at, new RecordedStream(stream, at, Optional.of(upstream.incarnation()), false));
              if (hasSeveralBuilds(at, c.service)) {
                core.emit(new RelayEffect.RecordStream(stream));
              }
            });
  }

  static Optional<StreamId> streamOf(CallState c) {
    if (c.call.resumedStream().isPresent()) {
      return c.call.resumedStream();
    }
    try {
      return Optional.of(c.call.wireId()).filter(id -> !id.isEmpty()).map(StreamId::new);
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private boolean hasSeveralBuilds(long at, ServiceName service) {
    ServedBuilds builds = services.get(service);
    return builds != null && builds.all(at).size() > 1;
  }

  /** Records a stream of which another node told. */
  void recorded(long at, StreamBuild stream) {
    RecordedStream known = records.get(stream.stream());
    if (known == null || !known.isOwn()) {
      record(at, new RecordedStream(stream, at, Optional.empty(), false));
    }
  }

  private void record(long at, RecordedStream recorded) {
    records.remove(recorded.stream().stream());
    records.put(recorded.stream().stream(), recorded);
    Iterator<RecordedStream> oldest = records.values().iterator();
    while (oldest.hasNext()) {
      RecordedStream r = oldest.next();
      if (at - r.at() <= LIFE_NANOS && records.size() <= MAX_RECORDS) {
        break;
      }
      oldest.remove();
    }
  }

  /** Returns whether no upstream of a service names its build, so that all count as of one. */
  boolean namesNoBuild(long at, ServiceName service) {
    return lookup(at, service).onlyBuild().filter(BuildName.UNKNOWN::equals).isPresent();
  }

  /** Returns for how long the builds of a service are followed; negative if none is known. */
  long followedNanos(long at, ServiceName service) {
    ServedBuilds builds = services.get(service);
    return builds == null ? -1 : builds.followedNanos(at);
  }

  /** Returns what this node knows of a stream. */
  StreamLookup lookup(long at, StreamId stream, ServiceName service) {
    RecordedStream r = records.get(stream);
    if (r != null && r.stream().service().equals(service) && at - r.at() <= LIFE_NANOS) {
      return new StreamLookup.Known(r.stream().build());
    }
    return lookup(at, service);
  }

  private StreamLookup lookup(long at, ServiceName service) {
    ServedBuilds builds = services.get(service);
    return builds == null ? new StreamLookup.Unknown() : builds.lookup(at);
  }

  /** Returns whether the stream of a call can not go on, as no upstream of its build is left. */
  boolean isHopeless(long at, CallState c) {
    return c.build != null
        && core.upstreams.ofService(c.service).stream()
            .noneMatch(
                s ->
                    c.acceptsBuild(s)
                        && s.upstream().stage().runsCalls()
                        && !s.isLeaving()
                        && !s.isMissingFor(at, core.settings.missingNanos()));
  }

  /** Fails a call whose stream can not go on. */
  void failHopeless(long at, CallState c) {
    core.openCalls.fail(
        at, c, ErrorKind.NO_UPSTREAM, "no upstream of build " + c.build + " is left");
  }
}
