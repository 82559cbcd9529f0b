/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.larkkeel.config.Change;
import org.larkkeel.config.Changes;
import org.larkkeel.config.Checked;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.Problems;
import org.larkkeel.config.Role;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.http.operator.AuditPage;
import org.larkkeel.http.operator.DryRun;
import org.larkkeel.http.operator.ExplainRequest;
import org.larkkeel.http.operator.NodeStatus;
import org.larkkeel.http.operator.OperatorService;
import org.larkkeel.http.operator.ProposalOutcome;
import org.larkkeel.http.operator.RolloutStatus;
import org.larkkeel.http.operator.RouteExplanation;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.PoolName;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.UpstreamName;

/**
 * The operators' API of a node whose configuration log is a list in memory. Safe for use by several
 * threads.
 */
final class InMemoryOperatorService implements OperatorService {
  private final List<AuditPage.Entry> log = new ArrayList<>();
  private Configuration configuration = Configuration.EMPTY;
  private int answersToLose;
  private int pendingRollouts;
  private int drains;

  /**
   * Accepts the next {@code count} changes but fails their answers, as if the answers were lost.
   */
  synchronized void loseAnswers(int count) {
    answersToLose = count;
  }

  synchronized void pendingRollouts(int newCount) {
    pendingRollouts = newCount;
  }

  synchronized int drains() {
    return drains;
  }

  synchronized List<AuditPage.Entry> log() {
    return List.copyOf(log);
  }

  synchronized Configuration current() {
    return configuration;
  }

  @Override
  public synchronized CompletableFuture<ProposalOutcome> propose(Change change, DryRun dryRun) {
    Optional<AuditPage.Entry> accepted =
        log.stream().filter(e -> e.change().id().equals(change.id())).findFirst();
    ProposalOutcome outcome =
        accepted
            .<ProposalOutcome>map(e -> new ProposalOutcome.Accepted(e.revision(), Problems.NONE))
            .orElseGet(() -> applyChange(change, dryRun));
    if (answersToLose > 0) {
      answersToLose--;
      return CompletableFuture.failedFuture(
          new LarkkeelException(ErrorKind.STORE_UNAVAILABLE, "the answer of the log is lost"));
    }
    return CompletableFuture.completedFuture(outcome);
  }

  private ProposalOutcome applyChange(Change change, DryRun dryRun) {
    List<Change> laterChanges =
        log.stream()
            .filter(e -> e.revision().isAfter(change.base()))
            .map(AuditPage.Entry::change)
            .toList();
    Optional<Change> conflict = Changes.findConflict(change, laterChanges);
    if (conflict.isPresent()) {
      return new ProposalOutcome.Conflicting(conflict.get(), configuration.revision());
    }
    return switch (Changes.apply(configuration, change)) {
      case Checked.Invalid<Configuration> invalid ->
          new ProposalOutcome.Refused(invalid.problems());
      case Checked.Valid<Configuration> valid -> {
        if (dryRun == DryRun.NO) {
          Revision revision = new Revision(configuration.revision().value() + 1);
          configuration = valid.value().withRevision(revision);
          log.add(new AuditPage.Entry(revision, change));
        }
        yield new ProposalOutcome.Accepted(configuration.revision(), valid.warnings());
      }
    };
  }

  @Override
  public CompletableFuture<Configuration> configuration() {
    return CompletableFuture.completedFuture(current());
  }

  @Override
  public CompletableFuture<AuditPage> audit(Revision from, int limit) {
    List<AuditPage.Entry> entries =
        log().stream().filter(e -> !from.isAfter(e.revision())).limit(limit).toList();
    return CompletableFuture.completedFuture(new AuditPage(entries, Revision.NONE));
  }

  @Override
  public CompletableFuture<RouteExplanation> explain(ExplainRequest request) {
    RouteExplanation.Candidate candidate =
        new RouteExplanation.Candidate(
            new UpstreamName("telar-2"), Role.DECODE, RouteExplanation.Verdict.FULL, 0, 20, 1.5);
    return CompletableFuture.completedFuture(
        new RouteExplanation(
            "telar", List.of(new PoolName("telar-decode")), List.of(candidate), 2.5, 3));
  }

  @Override
  public CompletableFuture<NodeStatus> status() {
    return CompletableFuture.completedFuture(
        new NodeStatus(
            new HostName("h1"),
            new DataCentreName("manizales"),
            new Incarnation(1),
            drains() > 0 ? NodeStatus.Phase.DRAINING : NodeStatus.Phase.READY,
            current().revision(),
            NodeStatus.StoreState.REACHABLE,
            3,
            2,
            1,
            List.of(
                new NodeStatus.UpstreamStatus(
                    new UpstreamName("telar-2"),
                    NodeStatus.UpstreamPhase.EJECTED,
                    20,
                    4,
                    16,
                    0,
                    31.25))));
  }

  @Override
  public synchronized CompletableFuture<RolloutStatus> rollout(Revision revision) {
    Revision requested = revision.equals(Revision.NONE) ? configuration.revision() : revision;
    if (pendingRollouts == 0) {
      return CompletableFuture.completedFuture(new RolloutStatus(requested, 2, 2, List.of()));
    }
    pendingRollouts--;
    RolloutStatus.NodeRevision behind =
        new RolloutStatus.NodeRevision(new HostName("h2"), Revision.NONE);
    return CompletableFuture.completedFuture(new RolloutStatus(requested, 2, 1, List.of(behind)));
  }

  @Override
  public synchronized CompletableFuture<Void> drain() {
    drains++;
    return CompletableFuture.completedFuture(null);
  }
}
