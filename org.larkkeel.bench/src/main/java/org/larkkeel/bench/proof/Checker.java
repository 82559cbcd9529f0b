/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof;

import static org.larkkeel.errors.Execution.NOT_RUN;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.larkkeel.bench.proof.world.CallerRecord;
import org.larkkeel.bench.proof.world.CallerRecord.Ending;
import org.larkkeel.bench.proof.world.Configurations;
import org.larkkeel.bench.proof.world.Observations;
import org.larkkeel.bench.proof.world.Observations.Accepted;
import org.larkkeel.bench.proof.world.Observations.Execution;
import org.larkkeel.bench.proof.world.Observations.HeldMemory;
import org.larkkeel.bench.proof.world.Observations.InForce;
import org.larkkeel.bench.proof.world.Observations.NodeIncarnation;
import org.larkkeel.bench.proof.world.Observations.Work;
import org.larkkeel.bench.proof.world.VirtualTime;
import org.larkkeel.config.Role;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;

/**
 * Checks each {@link Promise} against the observations of callers, engines, services, operators and
 * the platform. The internal state of the nodes is not consulted.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class Checker {
  /**
   * The maximum time that an engine may hold memory for an ended request in a run without faults.
   */
  private static final long MEMORY_BOUND_NANOS = 900 * VirtualTime.MILLI;

  /** The maximum time that an engine may hold memory for an ended request after the last fault. */
  private static final long MEMORY_BOUND_AFTER_FAULT_NANOS = 15 * VirtualTime.SECOND;

  /** The maximum time until a leaving upstream gets no new work. */
  private static final long LEAVING_BOUND_NANOS = 5 * VirtualTime.SECOND;

  /** The maximum time until a node applies an accepted configuration. */
  private static final long IN_FORCE_BOUND_NANOS = 11 * VirtualTime.SECOND;

  private final Observations observations;
  private final long end;
  private final long faultsEndedAt;
  private final ImmutableList.Builder<Violation> violations = ImmutableList.builder();

  Checker(Observations observations, long end, long faultsEndedAt) {
    this.observations = observations;
    this.end = end;
    this.faultsEndedAt = faultsEndedAt;
  }

  ImmutableList<Violation> check() {
    observations.callers().forEach(this::checkCaller);
    checkProbes();
    checkMemory();
    checkNotRun();
    checkAtMostOnce();
    observations.accepted().forEach(this::checkLeaving);
    observations.incarnations().forEach(this::checkInForce);
    observations.incarnations().stream()
        .filter(start -> start.stopAt() < end && start.isRunning())
        .forEach(
            start -> add(Promise.STOP_CUTS_NOTHING, "node " + start.number() + " never ended"));
    return violations.build();
  }

  private void add(Promise promise, String detail) {
    violations.add(new Violation(promise, detail));
  }

  private void checkCaller(CallerRecord caller) {
    if (caller.ends().size() > 1 || caller.piecesAfterEnd() > 0) {
      add(Promise.ANSWERED_ONCE, caller + " got " + caller.ends());
    }
    if (caller.ends().isEmpty() && !caller.isGone()) {
      add(Promise.ANSWERED_ONCE, caller + " got no ending");
    }
    checkPieces(caller);
    if (caller.isRefusedByStop()) {
      add(Promise.STOP_CUTS_NOTHING, caller + " got " + caller.ends());
    }
  }

  private void checkPieces(CallerRecord caller) {
    List<CallerRecord.Piece> pieces = caller.pieces();
    for (int i = 0; i < pieces.size(); i++) {
      CallerRecord.Piece piece = pieces.get(i);
      if (piece.index() != i || !piece.owner().equals(caller.identity())) {
        add(Promise.WHOLE_OWN_ANSWER, caller + " got " + piece + " as number " + i);
        return;
      }
    }
    if (isAnswered(caller) && pieces.size() != caller.expectedPieces()) {
      add(Promise.WHOLE_OWN_ANSWER, caller + " got " + pieces.size() + " pieces");
    }
  }

  private static boolean isAnswered(CallerRecord caller) {
    return caller.ends().stream()
        .anyMatch(e -> e.ending() == Ending.COMPLETE || e.ending() == Ending.REPLAYED);
  }

  private void checkProbes() {
    Set<String> answered = new HashSet<>();
    observations.callers().stream()
        .filter(Checker::isAnswered)
        .forEach(c -> answered.add(c.identity()));
    ImmutableSet<Role> servedRoles = Configurations.rolesWithout(leaving());
    observations.callers().stream()
        .filter(c -> c.isProbe() && !answered.contains(c.identity()))
        .filter(c -> servedRoles.containsAll(c.requiredRoles()) || !isRefusedWithNoUpstream(c))
        .forEach(c -> add(Promise.SERVES_AGAIN, c + " got " + c.ends()));
  }

  private Set<UpstreamName> leaving() {
    return observations.accepted().stream()
        .flatMap(accepted -> accepted.leaving().stream())
        .collect(Collectors.toSet());
  }

  /**
   * Returns whether every end was {@link ErrorKind#NO_UPSTREAM}, the only correct answer when
   * operators have marked the last upstream of a role as leaving.
   */
  private static boolean isRefusedWithNoUpstream(CallerRecord caller) {
    return !caller.ends().isEmpty()
        && caller.ends().stream().allMatch(e -> e.kind() == ErrorKind.NO_UPSTREAM);
  }

  private void checkMemory() {
    Map<RequestId, Long> endTimes = new HashMap<>();
    observations.callers().forEach(caller -> endTimes.put(caller.request(), caller.endedAt()));
    for (HeldMemory held : observations.heldMemory()) {
      long endedAt = endTimes.getOrDefault(held.request(), 0L);
      long since = Math.max(endedAt, held.from());
      long bound =
          faultsEndedAt == 0
              ? since + MEMORY_BOUND_NANOS
              : Math.max(since, faultsEndedAt) + MEMORY_BOUND_AFTER_FAULT_NANOS;
      if (endedAt < Long.MAX_VALUE && Math.min(held.until(), end) > bound) {
        add(
            Promise.MEMORY_FREED,
            held.upstream() + " held memory for request " + held.request() + " too long");
      }
    }
  }

  private void checkNotRun() {
    Set<RequestId> ran = new HashSet<>();
    observations.work().forEach(work -> ran.add(work.request()));
    for (CallerRecord caller : observations.callers()) {
      for (CallerRecord.End e : caller.ends()) {
        if (claimsNotRun(e.kind()) && ran.contains(caller.request())) {
          add(Promise.NOT_RUN_TRUE, caller + " got " + e.kind() + " and ran");
        }
      }
    }
  }

  private static boolean claimsNotRun(ErrorKind kind) {
    return kind != null && kind.execution() == NOT_RUN;
  }

  private void checkAtMostOnce() {
    Map<String, Integer> runs = new HashMap<>();
    for (Execution execution : observations.executions()) {
      if (!execution.repeatable() && runs.merge(execution.identity(), 1, Integer::sum) == 2) {
        add(Promise.AT_MOST_ONCE, execution.identity() + " ran again");
      }
    }
  }

  private void checkLeaving(Accepted accepted) {
    if (accepted.leaving().isEmpty()) {
      return;
    }
    for (Work work : observations.work()) {
      if (work.upstream().equals(accepted.leaving().get())
          && work.at() > Math.max(accepted.at(), faultsEndedAt) + LEAVING_BOUND_NANOS) {
        add(Promise.LEAVING_LEFT_ALONE, work + " after " + accepted);
        return;
      }
    }
  }

  private void checkInForce(NodeIncarnation incarnation) {
    long revision = 0;
    for (InForce entry : observations.inForce()) {
      if (entry.node() != incarnation.number()) {
        continue;
      }
      if (entry.revision().value() < revision) {
        add(Promise.IN_FORCE, "node " + incarnation.number() + " went back to " + entry.revision());
      }
      revision = entry.revision().value();
    }
    for (Accepted accepted : observations.accepted()) {
      long from = Math.max(Math.max(accepted.at(), incarnation.startedAt()), faultsEndedAt);
      boolean late = from + IN_FORCE_BOUND_NANOS < end && incarnation.isRunning();
      if (late && !isInForce(incarnation, accepted, from + IN_FORCE_BOUND_NANOS)) {
        add(
            Promise.IN_FORCE,
            "node " + incarnation.number() + " lacked revision " + accepted.revision());
      }
    }
  }

  private boolean isInForce(NodeIncarnation incarnation, Accepted accepted, long by) {
    return observations.inForce().stream()
        .anyMatch(
            e ->
                e.node() == incarnation.number()
                    && e.at() <= by
                    && e.revision().compareTo(accepted.revision()) >= 0);
  }
}
