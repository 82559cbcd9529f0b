/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.larkkeel.config.Change;
import org.larkkeel.config.Changes;
import org.larkkeel.config.Checked;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.Role;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.PoolName;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.UpstreamName;

/** An {@link OperatorService} that keeps changes in memory. Safe for use by several threads. */
final class FakeOperatorService implements OperatorService {
  static final NodeStatus STATUS =
      new NodeStatus(
          new HostName("h1"),
          new DataCentreName("manizales"),
          new Incarnation(4),
          NodeStatus.Phase.READY,
          new Revision(2),
          NodeStatus.StoreState.UNREACHABLE,
          7,
          3,
          1,
          List.of(
              new NodeStatus.UpstreamStatus(
                  new UpstreamName("u"), NodeStatus.UpstreamPhase.LEAVING, 20, 5, 15, 1.5, 2.5)));
  static final RouteExplanation EXPLANATION =
      new RouteExplanation(
          "r",
          List.of(new PoolName("p")),
          List.of(
              new RouteExplanation.Candidate(
                  new UpstreamName("u"),
                  Role.DECODE,
                  RouteExplanation.Verdict.OTHER_MODEL,
                  1,
                  2,
                  3.5)),
          4.5,
          6);

  private ImmutableList<AuditPage.Entry> entries = ImmutableList.of();
  private Configuration configuration = Configuration.EMPTY;
  private RuntimeException failure;
  private int drains;

  synchronized void failWith(RuntimeException newFailure) {
    failure = newFailure;
  }

  synchronized int drains() {
    return drains;
  }

  @Override
  public synchronized CompletableFuture<ProposalOutcome> propose(Change change, DryRun dryRun) {
    if (failure != null) {
      return CompletableFuture.failedFuture(failure);
    }
    if (change.base().value() < configuration.revision().value()) {
      AuditPage.Entry last = entries.getLast();
      return done(new ProposalOutcome.Conflicting(last.change(), last.revision()));
    }
    return done(
        switch (Changes.apply(configuration, change)) {
          case Checked.Invalid<Configuration> invalid ->
              new ProposalOutcome.Refused(invalid.problems());
          case Checked.Valid<Configuration> valid -> {
            if (dryRun == DryRun.NO) {
              accept(change, valid.value());
            }
            yield new ProposalOutcome.Accepted(configuration.revision(), valid.warnings());
          }
        });
  }

  private void accept(Change change, Configuration changed) {
    Revision revision = new Revision(configuration.revision().value() + 1);
    configuration = changed.withRevision(revision);
    entries =
        ImmutableList.<AuditPage.Entry>builder()
            .addAll(entries)
            .add(new AuditPage.Entry(revision, change))
            .build();
  }

  @Override
  public synchronized CompletableFuture<Configuration> configuration() {
    return done(configuration);
  }

  @Override
  public synchronized CompletableFuture<AuditPage> audit(Revision from, int limit) {
    return done(new AuditPage(entries, Revision.NONE));
  }

  @Override
  public CompletableFuture<RouteExplanation> explain(ExplainRequest request) {
    return done(EXPLANATION);
  }

  @Override
  public CompletableFuture<NodeStatus> status() {
    return done(STATUS);
  }

  @Override
  public CompletableFuture<RolloutStatus> rollout(Revision revision) {
    RolloutStatus.NodeRevision behind =
        new RolloutStatus.NodeRevision(new HostName("h2"), new Revision(1));
    return done(new RolloutStatus(revision, 2, 1, List.of(behind)));
  }

  @Override
  public synchronized CompletableFuture<Void> drain() {
    drains++;
    return done(null);
  }

  private static <T> CompletableFuture<T> done(T value) {
    return CompletableFuture.completedFuture(value);
  }
}
