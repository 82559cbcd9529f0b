/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.larkkeel.call.Call;
import org.larkkeel.call.PrefixKeys;
import org.larkkeel.config.Change;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.Upstream;
import org.larkkeel.daemon.settings.Settings;
import org.larkkeel.http.operator.AuditPage;
import org.larkkeel.http.operator.DryRun;
import org.larkkeel.http.operator.ExplainRequest;
import org.larkkeel.http.operator.NodeStatus;
import org.larkkeel.http.operator.OperatorService;
import org.larkkeel.http.operator.ProposalOutcome;
import org.larkkeel.http.operator.RolloutStatus;
import org.larkkeel.http.operator.RouteExplanation;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.peer.PeerView;
import org.larkkeel.router.Explanation;
import org.larkkeel.router.Router;
import org.larkkeel.router.RouterStatus;

/**
 * The operator service of a node.
 *
 * <p>Safe for use by several threads; no method blocks.
 */
final class NodeOperations implements OperatorService {
  private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final RequestId NO_REQUEST = new RequestId(0);

  private final Dependencies dependencies;

  /** The components of the node that operator calls read or control. */
  record Dependencies(
      Settings settings,
      Incarnation incarnation,
      Router router,
      ReducerLoop loop,
      NodeConfiguration configuration,
      Readiness readiness,
      PeerAdapter peers,
      Supplier<PeerView> view,
      ChangeLog changes,
      Supplier<CompletableFuture<Void>> drain) {}

  NodeOperations(Dependencies dependencies) {
    this.dependencies = dependencies;
  }

  @Override
  public CompletableFuture<ProposalOutcome> propose(Change change, DryRun dryRun) {
    return dependencies.changes.propose(change, dryRun);
  }

  @Override
  public CompletableFuture<Configuration> configuration() {
    return CompletableFuture.completedFuture(dependencies.configuration.current());
  }

  @Override
  public CompletableFuture<AuditPage> audit(Revision from, int limit) {
    return dependencies.changes.audit(from, limit);
  }

  @Override
  public CompletableFuture<RouteExplanation> explain(ExplainRequest request) {
    return dependencies.loop.query(
        () -> toRouteExplanation(dependencies.router.explain(toCall(request))));
  }

  private static Call toCall(ExplainRequest request) {
    if (request.model().isPresent()) {
      return new Call.Completion(
          NO_REQUEST,
          request.workspace(),
          Optional.empty(),
          request.model().get(),
          request.promptTokens(),
          1,
          PrefixKeys.NONE,
          0);
    }
    return new Call.Plain(
        NO_REQUEST, request.workspace(), Optional.empty(), request.path().orElseThrow(), true, 0);
  }

  private RouteExplanation.Verdict verdict(Explanation.Candidate candidate) {
    return isLeaving(candidate.upstream())
        ? RouteExplanation.Verdict.LEAVING
        : RouteExplanation.Verdict.valueOf(candidate.verdict().name());
  }

  private RouteExplanation toRouteExplanation(Explanation e) {
    List<RouteExplanation.Candidate> candidates = new ArrayList<>();
    for (Explanation.Candidate c : e.candidates()) {
      candidates.add(
          new RouteExplanation.Candidate(
              c.upstream(),
              c.role(),
              verdict(c),
              c.freeSlots(),
              c.outstanding(),
              c.predictedNanos() / NANOS_PER_MILLI));
    }
    return new RouteExplanation(
        e.rule().map(Object::toString).orElse(""),
        e.pools(),
        candidates,
        e.predictedWaitNanos() / NANOS_PER_MILLI,
        e.queued());
  }

  @Override
  public CompletableFuture<NodeStatus> status() {
    return dependencies.loop.query(dependencies.router::status).thenApply(this::nodeStatus);
  }

  private NodeStatus nodeStatus(RouterStatus router) {
    return new NodeStatus(
        dependencies.settings.host(),
        dependencies.settings.dataCentre(),
        dependencies.incarnation,
        dependencies.readiness.phase(),
        dependencies.configuration.revision(),
        dependencies.readiness.store(),
        dependencies.peers.live().size(),
        router.requests(),
        router.queued(),
        router.upstreams().stream().map(this::upstreamStatus).toList());
  }

  private NodeStatus.UpstreamStatus upstreamStatus(RouterStatus.UpstreamStatus u) {
    return new NodeStatus.UpstreamStatus(
        u.name(),
        phase(u),
        u.slots(),
        u.freeSlots(),
        u.outstanding(),
        u.prefillTokensPerSecond(),
        u.decodeNanosPerToken() / NANOS_PER_MILLI);
  }

  private NodeStatus.UpstreamPhase phase(RouterStatus.UpstreamStatus u) {
    if (!u.configured()) {
      return NodeStatus.UpstreamPhase.REMOVED;
    }
    if (isLeaving(u.name())) {
      return NodeStatus.UpstreamPhase.LEAVING;
    }
    return u.ejected() ? NodeStatus.UpstreamPhase.EJECTED : NodeStatus.UpstreamPhase.AVAILABLE;
  }

  private boolean isLeaving(UpstreamName name) {
    Upstream upstream = dependencies.configuration.current().upstreams().get(name);
    return upstream != null && upstream.isLeaving();
  }

  @Override
  public CompletableFuture<RolloutStatus> rollout(Revision revision) {
    Revision own = dependencies.configuration.revision();
    Map<HostName, Revision> known = dependencies.view.get().revisions();
    Revision target = revision;
    if (revision.equals(Revision.NONE)) {
      target =
          known.values().stream().max(Revision::compareTo).filter(r -> r.isAfter(own)).orElse(own);
    }
    ImmutableList.Builder<RolloutStatus.NodeRevision> behind = ImmutableList.builder();
    int inForce = 0;
    for (HostName host : dependencies.peers.live()) {
      Revision hostRevision =
          host.equals(dependencies.settings.host()) ? own : known.getOrDefault(host, Revision.NONE);
      if (target.isAfter(hostRevision)) {
        behind.add(new RolloutStatus.NodeRevision(host, hostRevision));
      } else {
        inForce++;
      }
    }
    return CompletableFuture.completedFuture(
        new RolloutStatus(target, dependencies.peers.live().size(), inForce, behind.build()));
  }

  @Override
  public CompletableFuture<Void> drain() {
    CompletableFuture<Void> unused = dependencies.drain.get();
    return CompletableFuture.completedFuture(null);
  }
}
