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
import org.larkkeel.bench.proof.world.Observations.Held;
import org.larkkeel.bench.proof.world.Observations.InForce;
import org.larkkeel.bench.proof.world.Observations.Start;
import org.larkkeel.bench.proof.world.Observations.Work;
import org.larkkeel.bench.proof.world.VirtualTime;
import org.larkkeel.config.Role;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;

/**
 * Checks the promises by what callers, engines, services, operators and the platform saw.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class Checker {
  /** Engine memory of a request that is over, while nothing else fails. */
  private static final long MEMORY_BOUND = 900 * VirtualTime.MILLI;

  /** Engine memory of a request that is over, from the end of the last fault on. */
  private static final long MEMORY_BOUND_AFTER_FAULT = 15 * VirtualTime.SECOND;

  private static final long LEAVING_BOUND = 5 * VirtualTime.SECOND;
  private static final long IN_FORCE_BOUND = 11 * VirtualTime.SECOND;

  private final Observations seen;
  private final long end;
  private final long healedAt;
  private final ImmutableList.Builder<Violation> violations = ImmutableList.builder();

  Checker(Observations seen, long end, long healedAt) {
    this.seen = seen;
    this.end = end;
    this.healedAt = healedAt;
  }

  ImmutableList<Violation> check() {
    seen.callers().forEach(this::checkCaller);
    checkProbes();
    checkMemory();
    checkNotRun();
    checkAtMostOnce();
    seen.accepted().forEach(this::checkLeaving);
    seen.starts().forEach(this::checkInForce);
    seen.starts().stream()
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
    if (caller.isCutByStop()) {
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
    seen.callers().stream().filter(Checker::isAnswered).forEach(c -> answered.add(c.identity()));
    ImmutableSet<Role> served = Configurations.rolesWithout(leaving());
    seen.callers().stream()
        .filter(c -> c.isProbe() && !answered.contains(c.identity()))
        .filter(c -> served.containsAll(c.needs()) || !isToldOfNoUpstream(c))
        .forEach(c -> add(Promise.SERVES_AGAIN, c + " got " + c.ends()));
  }

  private Set<UpstreamName> leaving() {
    return seen.accepted().stream()
        .flatMap(accepted -> accepted.leaving().stream())
        .collect(Collectors.toSet());
  }

  /** The one right answer once operators have taken the last upstream of a role out of use. */
  private static boolean isToldOfNoUpstream(CallerRecord caller) {
    return !caller.ends().isEmpty()
        && caller.ends().stream().allMatch(e -> e.kind() == ErrorKind.NO_UPSTREAM);
  }

  private void checkMemory() {
    Map<RequestId, Long> over = new HashMap<>();
    seen.callers().forEach(caller -> over.put(caller.request(), caller.overAt()));
    for (Held held : seen.holdings()) {
      long overAt = over.getOrDefault(held.request(), 0L);
      long since = Math.max(overAt, held.from());
      long bound =
          healedAt == 0
              ? since + MEMORY_BOUND
              : Math.max(since, healedAt) + MEMORY_BOUND_AFTER_FAULT;
      if (overAt < Long.MAX_VALUE && Math.min(held.until(), end) > bound) {
        add(
            Promise.MEMORY_FREED,
            held.upstream() + " held memory for request " + held.request() + " too long");
      }
    }
  }

  private void checkNotRun() {
    Set<RequestId> ran = new HashSet<>();
    seen.work().forEach(work -> ran.add(work.request()));
    for (CallerRecord caller : seen.callers()) {
      for (CallerRecord.End e : caller.ends()) {
        if (saysNotRun(e.kind()) && ran.contains(caller.request())) {
          add(Promise.NOT_RUN_TRUE, caller + " got " + e.kind() + " and ran");
        }
      }
    }
  }

  private static boolean saysNotRun(ErrorKind kind) {
    return kind != null && kind.execution() == NOT_RUN;
  }

  private void checkAtMostOnce() {
    Map<String, Integer> runs = new HashMap<>();
    for (Execution execution : seen.executions()) {
      if (!execution.repeatable() && runs.merge(execution.identity(), 1, Integer::sum) == 2) {
        add(Promise.AT_MOST_ONCE, execution.identity() + " ran again");
      }
    }
  }

  private void checkLeaving(Accepted accepted) {
    if (accepted.leaving().isEmpty()) {
      return;
    }
    for (Work work : seen.work()) {
      if (work.upstream().equals(accepted.leaving().get())
          && work.at() > Math.max(accepted.at(), healedAt) + LEAVING_BOUND) {
        add(Promise.LEAVING_LEFT_ALONE, work + " after " + accepted);
        return;
      }
    }
  }

  private void checkInForce(Start start) {
    long revision = 0;
    for (InForce entry : seen.inForce()) {
      if (entry.node() != start.number()) {
        continue;
      }
      if (entry.revision().value() < revision) {
        add(Promise.IN_FORCE, "node " + start.number() + " went back to " + entry.revision());
      }
      revision = entry.revision().value();
    }
    for (Accepted accepted : seen.accepted()) {
      long from = Math.max(Math.max(accepted.at(), start.at()), healedAt);
      boolean late = from + IN_FORCE_BOUND < end && start.isRunning();
      if (late && !isInForce(start, accepted, from + IN_FORCE_BOUND)) {
        add(Promise.IN_FORCE, "node " + start.number() + " lacked revision " + accepted.revision());
      }
    }
  }

  private boolean isInForce(Start start, Accepted accepted, long by) {
    return seen.inForce().stream()
        .anyMatch(
            e ->
                e.node() == start.number()
                    && e.at() <= by
                    && e.revision().compareTo(accepted.revision()) >= 0);
  }
}
