/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.ProbeResult;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayFact.PathChanged.Change;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.UpstreamPath;
import org.larkkeel.relay.internal.UpstreamState.Reach;

/**
 * Decides by which path this node reaches each upstream: directly, by a tunnel through another
 * node, or not at all.
 *
 * <p>Only a failed connect shows that a direct path is broken: that of an attempt, or that of a
 * probe after an attempt without an answer. A silent upstream that accepts connections keeps its
 * path. Whether the path or the upstream has failed is decided by another node: if a tunnel opens,
 * requests are sent by tunnels until a probe finds that direct connections work again; if not, the
 * upstream is ejected. After a first failure, some other upstreams of the service are probed; if
 * none of them accepts a connection, all upstreams of the service are taken as lost, so that calls
 * need not find out one by one.
 *
 * <p>Invariant: no call is sent to an upstream while its path is unknown. A node without peers does
 * not use tunnels. Not thread-safe.
 */
final class UpstreamPaths {
  private static final long MILLI = 1_000_000L;

  /** The time without an answer after which a connection is suspect. */
  static final long SILENCE_NANOS = 200 * MILLI;

  /** The silence of one upstream that makes it suspect while others of its service answer. */
  private static final long SINGLE_SILENCE_NANOS = 500 * MILLI;

  /** The time for which a path counts as sound after a probe was accepted. */
  private static final long PROBE_PERIOD_NANOS = 1_000 * MILLI;

  /** The number of upstreams that are probed to find out whether a service is reached at all. */
  private static final int SURVEY_SIZE = 4;

  /** The number of upstreams of a lost service to which tunnels are probed at once. */
  private static final int MAX_TUNNEL_PROBES = 16;

  /** The time for which an upstream that no node reaches is not tried again. */
  private static final long UNREACHABLE_NANOS = 250 * MILLI;

  private static final long DIRECT_CHECK_NANOS = 500 * MILLI;

  /** The time by which direct checks are further apart for each upstream not reached directly. */
  private static final long DIRECT_CHECK_SPREAD_NANOS = 20 * MILLI;

  private final Core core;
  private final Map<ServiceName, ServicePaths> services = new HashMap<>();
  private final Map<UpstreamPath, Set<UpstreamIncarnation>> probing =
      Map.of(UpstreamPath.DIRECT, new HashSet<>(), UpstreamPath.TUNNEL, new HashSet<>());

  /** The upstreams that this node does not reach directly. */
  private ImmutableSet<UpstreamIncarnation> indirect = ImmutableSet.of();

  private final Set<CallState> waiting = new LinkedHashSet<>();
  private final SplittableRandom random;
  private boolean hasPeers;

  /** What is known of the paths to one service. */
  private static final class ServicePaths {
    private final PathSurvey survey = new PathSurvey();
    private long heardAt = Long.MIN_VALUE;
  }

  UpstreamPaths(Core core) {
    this.core = core;
    this.random = new SplittableRandom(core.settings.seed() + 3);
  }

  /** Sets the number of known nodes, this one included. */
  void setNodes(int count) {
    hasPeers = count > 1;
  }

  /** Returns whether there are other nodes that may offer tunnels. */
  boolean hasPeers() {
    return hasPeers;
  }

  private ServicePaths service(UpstreamState s) {
    return services.computeIfAbsent(s.upstream().service(), n -> new ServicePaths());
  }

  /** Handles anything that was received in answer to an attempt. */
  void heard(long at, AttemptState a) {
    a.upstream().heard(at);
    if (a.path() == UpstreamPath.DIRECT) {
      service(a.upstream()).heardAt = at;
    }
  }

  /** Probes the path to an upstream if its answer is overdue. */
  void checkSilence(long at, AttemptState a) {
    UpstreamState s = a.upstream();
    if (!hasPeers || a.path() != s.path() || !s.isPathKnown() || s.heardAt() >= a.sentAt()) {
      return;
    }
    long provenUntil = s.listenedAt() + PROBE_PERIOD_NANOS;
    if (at < provenUntil) {
      core.timers.add(new Timers.Timer.SilenceCheck(provenUntil, a.id()));
    } else if (a.path() == UpstreamPath.TUNNEL) {
      // The peer of the tunnel may have failed; a new one is opened by another peer then.
      probe(s, UpstreamPath.TUNNEL);
    } else if (service(s).heardAt < a.sentAt()) {
      survey(at, s);
    } else if (at - a.sentAt() >= SINGLE_SILENCE_NANOS) {
      probe(s, UpstreamPath.DIRECT);
    } else {
      core.timers.add(new Timers.Timer.SilenceCheck(a.sentAt() + SINGLE_SILENCE_NANOS, a.id()));
    }
  }

  /** Handles an attempt by a tunnel that failed, which may be the failure of the tunnel's peer. */
  void tunnelFailed(long at, UpstreamState s) {
    s.failed(at);
    probe(s, UpstreamPath.TUNNEL);
  }

  /**
   * Handles an attempt whose connection could not be opened.
   *
   * @return whether the call may still be sent to the upstream once a path to it is found
   */
  boolean connectFailed(long at, AttemptState a, String cause) {
    UpstreamState s = a.upstream();
    if (!hasPeers || s.isUnreachable(at)) {
      return false;
    }
    if (a.path() == UpstreamPath.TUNNEL) {
      if (s.reach() == Reach.TUNNEL) {
        unreachable(at, s, cause);
      }
      return false;
    }
    if (s.reach() == Reach.DIRECT) {
      lost(at, s, cause);
      survey(at, s);
    }
    return true;
  }

  /**
   * Probes whether an upstream listens, by the path that is used now, even if a probe is in
   * progress that began before.
   */
  void probeNow(UpstreamState s) {
    probing.get(s.path()).add(s.incarnation());
    core.emit(new RelayEffect.Probe(s.upstream(), s.path()));
  }

  /** Probes whether direct connections to an upstream with a tunnel work again. */
  void probeDirect(UpstreamState s) {
    if (s.reach() == Reach.TUNNEL) {
      probe(s, UpstreamPath.DIRECT);
    }
  }

  private void probe(UpstreamState s, UpstreamPath path) {
    if (probing.get(path).add(s.incarnation())) {
      core.emit(new RelayEffect.Probe(s.upstream(), path));
    }
  }

  /** Probes the path to an upstream, if it may work, and to some others of its service. */
  private void survey(long at, UpstreamState first) {
    List<UpstreamState> surveyed = new ArrayList<>();
    if (first.reach() == Reach.DIRECT) {
      surveyed.add(first);
    }
    PathSurvey survey = service(first).survey;
    if (survey.mayBegin(at)) {
      surveyed.addAll(othersToSurvey(first));
      List<UpstreamIncarnation> names = surveyed.stream().map(UpstreamState::incarnation).toList();
      survey.begin(at, names, first.reach() == Reach.DIRECT ? 0 : 1);
    }
    surveyed.forEach(s -> probe(s, UpstreamPath.DIRECT));
  }

  private List<UpstreamState> othersToSurvey(UpstreamState first) {
    List<UpstreamState> others = new ArrayList<>();
    for (UpstreamState s : core.upstreams.ofService(first.upstream().service())) {
      if (s != first && s.reach() == Reach.DIRECT && !s.isLeavingOrMissing()) {
        others.add(s);
      }
    }
    Collections.shuffle(others, random);
    return others.subList(0, Math.min(SURVEY_SIZE - 1, others.size()));
  }

  /** Handles the result of a probe. */
  void probed(long at, UpstreamIncarnation incarnation, UpstreamPath path, ProbeResult result) {
    probing.get(path).remove(incarnation);
    core.upstreams
        .find(incarnation)
        .ifPresentOrElse(
            s -> probed(at, s, path, result),
            () -> {
              services.values().forEach(p -> p.survey.removed(incarnation));
              resume(at);
            });
  }

  private void probed(long at, UpstreamState s, UpstreamPath path, ProbeResult result) {
    if (!hasPeers) {
      return;
    }
    if (result == ProbeResult.LISTENS && path == s.path()) {
      s.listened(at);
    }
    switch (path) {
      case DIRECT -> probedDirectly(at, s, result);
      case TUNNEL -> probedByTunnel(at, s, result);
      default -> throw new IllegalStateException("unknown path: " + path);
    }
  }

  private void probedByTunnel(long at, UpstreamState s, ProbeResult result) {
    if (result != ProbeResult.LISTENS && s.reach() != Reach.DIRECT) {
      unreachable(at, s, "probe_" + result);
      if (s.directResult() == ProbeResult.REFUSES) {
        service(s).survey.addRefusing(s.incarnation());
        reportEnded(at, s);
      }
    } else if (s.reach() == Reach.UNKNOWN) {
      tunnelled(at, s, "probe");
    }
  }

  private void probedDirectly(long at, UpstreamState s, ProbeResult result) {
    final boolean listens = result == ProbeResult.LISTENS;
    s.setDirectResult(result);
    if (listens) {
      restored(at, s);
    } else if (s.reach() == Reach.DIRECT) {
      lost(at, s, "probe_" + result);
    } else if (s.reach() == Reach.TUNNEL) {
      scheduleDirectCheck(at, s);
    }
    PathSurvey survey = service(s).survey;
    switch (survey.answered(s.incarnation(), listens)) {
      case LOST -> serviceLost(at, s.upstream().service());
      case OPEN -> reportEnded(at, s);
      case NOT_SURVEYED -> {
        if (!listens && !survey.isInProgress()) {
          survey(at, s);
        }
      }
      default -> throw new IllegalStateException("unknown result of a survey");
    }
  }

  /**
   * Reports upstreams as ended that refuse connections while this node reaches another one of the
   * service; used if no peer could tell, as while all peers run an older version.
   */
  private void reportEnded(long at, UpstreamState s) {
    service(s)
        .survey
        .takeEnded()
        .forEach(i -> core.crashGuard.incarnationEnded(at, i, "refuses_connections"));
  }

  private void serviceLost(long at, ServiceName service) {
    int probes = 0;
    for (UpstreamState s : List.copyOf(core.upstreams.ofService(service))) {
      if (s.reach() != Reach.DIRECT || s.isMissing()) {
        continue;
      }
      if (probes++ < MAX_TUNNEL_PROBES) {
        lost(at, s, "service_lost");
      } else {
        tunnelled(at, s, "service_lost");
      }
    }
  }

  private void setReach(UpstreamState s, Reach reach) {
    s.setReach(reach);
    // An upstream that has restarted or left has a state of its own or none.
    Set<UpstreamIncarnation> all = new LinkedHashSet<>(indirect);
    all.removeIf(i -> core.upstreams.find(i).isEmpty());
    if (reach == Reach.DIRECT) {
      all.remove(s.incarnation());
    } else {
      all.add(s.incarnation());
    }
    indirect = ImmutableSet.copyOf(all);
  }

  /** Returns the upstreams that this node does not reach directly. */
  ImmutableSet<UpstreamIncarnation> indirect() {
    return indirect;
  }

  private void lost(long at, UpstreamState s, String cause) {
    setReach(s, Reach.UNKNOWN);
    report(s, Change.LOST, cause);
    probe(s, UpstreamPath.TUNNEL);
  }

  private void tunnelled(long at, UpstreamState s, String cause) {
    setReach(s, Reach.TUNNEL);
    s.endEjection();
    report(s, Change.TUNNELLED, cause);
    scheduleDirectCheck(at, s);
    pathFound(at, s);
    if (s.directResult() == ProbeResult.SILENT) {
      retryUnanswered(at, s);
    }
  }

  private void restored(long at, UpstreamState s) {
    if (s.reach() == Reach.DIRECT) {
      return;
    }
    setReach(s, Reach.DIRECT);
    s.endEjection();
    s.unreachableUntil(at);
    report(s, Change.RESTORED, "probe");
    pathFound(at, s);
  }

  private void unreachable(long at, UpstreamState s, String cause) {
    setReach(s, Reach.DIRECT);
    report(s, Change.UNREACHABLE, cause);
    s.unreachableUntil(at + UNREACHABLE_NANOS);
    long ejectedNanos = s.failedHard(at, true);
    core.report(new RelayFact.Ejected(s.upstream().name(), cause, ejectedNanos));
    resume(at);
  }

  private void scheduleDirectCheck(long at, UpstreamState s) {
    long delay = DIRECT_CHECK_NANOS + DIRECT_CHECK_SPREAD_NANOS * indirect.size();
    core.timers.add(new Timers.Timer.DirectPathCheck(at + delay, s.incarnation()));
  }

  private void report(UpstreamState s, Change change, String cause) {
    core.report(
        new RelayFact.PathChanged(
            s.upstream().name(), s.upstream().service().value(), change, cause));
  }

  /** Sends the attempts elsewhere that were written to silent connections and may run again. */
  private void retryUnanswered(long at, UpstreamState s) {
    for (AttemptState a : core.attempts.all()) {
      if (a.upstream() == s && a.path() == UpstreamPath.DIRECT && s.heardAt() < a.sentAt()) {
        core.outcomes.timedOut(at, a.id());
      }
    }
  }

  /** Makes an upstream eligible again for the calls that could not be sent to it before. */
  private void pathFound(long at, UpstreamState s) {
    for (CallState c : core.openCalls.all()) {
      if (c.excludedForPath.remove(s.incarnation())) {
        c.excluded.remove(s.incarnation());
      }
    }
    resume(at);
  }

  /** Places the calls again that wait for a path to an upstream that may have gone. */
  void upstreamsChanged(long at) {
    if (!waiting.isEmpty()) {
      resume(at);
    }
  }

  private void resume(long at) {
    List<CallState> calls = List.copyOf(waiting);
    waiting.clear();
    for (CallState c : calls) {
      if (core.openCalls.contains(c)) {
        core.dispatch.run(at, c);
      }
    }
    core.reservations.placePending(at);
  }

  /** Returns whether a path may yet be found to an upstream that can run a call. */
  boolean mayOpen(CallState c) {
    Collection<UpstreamState> all = core.upstreams.ofService(c.service);
    return all.stream()
        .anyMatch(
            s ->
                s.reach() == Reach.UNKNOWN
                    && s.upstream().stage().runsCalls()
                    && !s.isLeavingOrMissing()
                    && c.acceptsBuild(s)
                    && (!c.excluded.contains(s.incarnation())
                        || c.excludedForPath.contains(s.incarnation())));
  }

  /** Keeps a call until it is known whether there is a path to an upstream. */
  void await(CallState c) {
    waiting.add(c);
  }

  /** Removes a call that waits for a path; does nothing for another. */
  void remove(CallState c) {
    waiting.remove(c);
  }

  /** Returns some other upstreams of the service of an upstream. */
  ImmutableList<RelayUpstream> siblings(RelayUpstream upstream) {
    return core.upstreams.ofService(upstream.service()).stream()
        .filter(s -> !s.isLeavingOrMissing() && !s.incarnation().equals(upstream.incarnation()))
        .limit(SURVEY_SIZE - 1)
        .map(UpstreamState::upstream)
        .collect(ImmutableList.toImmutableList());
  }
}
