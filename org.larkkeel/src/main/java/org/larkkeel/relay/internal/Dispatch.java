/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.Optional;
import java.util.OptionalLong;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.larkkeel.relay.Stage;

/**
 * Decides whether a call may be sent, chooses its upstream and sends it.
 *
 * <p>Invariant: a call is sent only before its deadline, while its caller's key is valid, its
 * request is not quarantined, and the retry budget of its service allows it. Not thread-safe.
 */
final class Dispatch {
  private static final long MILLI = 1_000_000L;

  /** The maximum number of attempts of one call, including those that reached no upstream. */
  static final int MAX_ATTEMPTS = 6;

  private final Core core;
  private boolean draining;

  Dispatch(Core core) {
    this.core = core;
  }

  /**
   * Starts draining: from now on calls that need memory are refused, or sent on without a
   * reservation if their service is not contended.
   */
  void drain() {
    draining = true;
  }

  boolean isDraining() {
    return draining;
  }

  /** Continues with a call that is within its quota. */
  void quotaGranted(long at, CallState c) {
    core.retryBudget.recordFirst(at, c.service);
    if (core.reservations.needsReservation(c)) {
      core.reservations.reserveOrWait(at, c);
    } else {
      run(at, c);
    }
  }

  /** Starts the work on a call for which memory is reserved. */
  void start(long at, CallState c, Optional<Choice> prefillUpstream) {
    if (prefillUpstream.isPresent()) {
      send(at, c, prefillUpstream.get(), new Purpose.ReadPrompt(), c.call.size().prompt());
    } else {
      run(at, c);
    }
  }

  /**
   * Runs the call at its reserved upstream if that still accepts work, or at another one with free
   * memory; else waits for a reservation. In services that are not contended, a draining node, or
   * one without an upstream left that could reserve memory, sends the call regardless of memory.
   */
  void run(long at, CallState c) {
    if (core.streamBuilds.isHopeless(at, c)) {
      core.streamBuilds.failHopeless(at, c);
      return;
    }
    boolean needsReservation = core.reservations.needsReservation(c);
    if (needsReservation
        && ((c.reservedUpstream != null && isUsable(at, c, c.reservedUpstream))
            || core.reservations.tryReserve(at, c))) {
      send(at, c, new Choice(c.reservedUpstream, 0, "", 0, 1), purpose(at, c), 0);
    } else if (!needsReservation) {
      place(at, c, core.reservations.demand(c, at));
    } else if (core.contended.isContended(c.service)) {
      core.prefillResults.free(c);
      waitOrRefuse(at, c);
    } else if (draining || !core.upstreams.availability().hasUpstream(at, c)) {
      place(at, c, CallDemands.withoutMemoryLimit(core.reservations.demand(c, at)));
    } else {
      core.prefillResults.free(c);
      core.reservations.awaitReservation(at, c);
    }
  }

  /**
   * Lets a call that may have run wait for a reservation, and one that has not run only where it
   * can get one. Neither is sent without: an engine whose requests exceed its memory ends.
   */
  private void waitOrRefuse(long at, CallState c) {
    if (c.hasRunOrBegun()) {
      core.reservations.awaitReservation(at, c);
    } else if (draining) {
      core.openCalls.fail(at, c, ErrorKind.NOT_READY, "the node stops");
    } else if (core.upstreams.availability().hasUpstream(at, c)) {
      core.reservations.awaitReservation(at, c);
    } else {
      awaitPermitOrFail(at, c);
    }
  }

  /**
   * Sends the call to the upstream with the lowest cost. If there is none, the call waits for a
   * path or a permit, or fails if none can come.
   */
  void place(long at, CallState c, CallDemand demand) {
    Optional<Choice> choice =
        core.upstreams
            .chooser()
            .choose(
                at, c.service, Stage::runsCalls, c::accepts, core.settings.dataCentre(), demand);
    if (choice.isEmpty()) {
      core.prefillResults.free(c);
      awaitPermitOrFail(at, c);
      return;
    }
    boolean needsReservation = core.reservations.needsReservation(c);
    if (needsReservation) {
      c.reserveAt(choice.get().best(), demand.units());
    }
    send(at, c, choice.get(), purpose(at, c), needsReservation ? 0 : demand.units());
  }

  private void awaitPermitOrFail(long at, CallState c) {
    if (core.paths.mayOpen(c)) {
      core.paths.await(c);
      return;
    }
    OptionalLong opensAt = core.upstreams.availability().acceptsWorkAt(at, c);
    if (opensAt.isPresent()) {
      core.permits.await(at, c, opensAt.getAsLong());
    } else {
      core.openCalls.fail(at, c, ErrorKind.NO_UPSTREAM, "no upstream of " + c.service + " is left");
    }
  }

  Purpose purpose(long at, CallState c) {
    if (c.prefilledPrompt != null) {
      return c.prefilledPrompt;
    }
    return core.reservations
        .likelyCacheHolder(at, c)
        .<Purpose>map(Purpose.Fetch::new)
        .orElseGet(Purpose.Run::new);
  }

  boolean isUsable(long at, CallState c, UpstreamState s) {
    return s.acceptsWork(at) && s.isHealthy(at) && c.accepts(s);
  }

  void send(long at, CallState c, Choice choice, Purpose purpose, long loadUnits) {
    send(at, c, choice, purpose, loadUnits, Optional.empty());
  }

  /**
   * Sends a call, or fails it if it may not be sent any more.
   *
   * @param at now
   * @param c the call
   * @param choice the chosen upstream
   * @param purpose the purpose of the attempt
   * @param loadUnits the load that the attempt adds to the upstream
   * @param held the permit of a retry that was acquired before; empty for none. It is released if
   *     the call is not sent.
   */
  void send(
      long at,
      CallState c,
      Choice choice,
      Purpose purpose,
      long loadUnits,
      Optional<RetryPermit> held) {
    if (!maySend(at, c, purpose)) {
      held.ifPresent(RetryPermit::release);
      return;
    }
    boolean isRetry = c.arrivalCount > 0;
    Optional<RetryPermit> permit = isRetry && held.isEmpty() ? acquirePermit(at, c) : held;
    if (isRetry && permit.isEmpty()) {
      // The default Retry-After brings all these callers back while the service is still
      // overloaded.
      core.openCalls.fail(
          at,
          c,
          ErrorKind.OVERLOADED,
          ReservationTimeouts.retryAfterMillis(c, at, core.random),
          "the budget of repeats is used up");
      return;
    }
    core.attempts.send(at, c, choice, purpose, permit, loadUnits);
  }

  /** Returns a permit for a retry of a call; reports whether the retry budget has one. */
  Optional<RetryPermit> acquirePermit(long at, CallState c) {
    Optional<RetryPermit> permit = core.retryBudget.tryAcquire(at, c.service);
    core.report(
        permit.isPresent() ? core.retryBudget.usedFact(at, c) : core.retryBudget.spentFact(at, c));
    return permit;
  }

  /** Returns whether a call may be sent, regardless of the retry budget; else fails it. */
  private boolean maySend(long at, CallState c, Purpose purpose) {
    if (at >= c.deadline) {
      // After a suspension other timers may come before that of the deadline.
      core.openCalls.failPastDeadline(at, c);
      return false;
    }
    if (!(purpose instanceof Purpose.Continue) && !core.admission.isAllowed(c)) {
      core.openCalls.fail(at, c, ErrorKind.UNAUTHENTICATED, 0, Admission.refusalDetail(c.call));
      return false;
    }
    long remaining = core.crashGuard.remainingNanos(at, c.call, c.service);
    if (remaining > 0) {
      core.openCalls.fail(
          at, c, ErrorKind.QUARANTINED, remaining / MILLI, CrashGuard.REFUSAL_DETAIL);
      return false;
    }
    if (c.attemptCount >= MAX_ATTEMPTS) {
      core.openCalls.fail(at, c, ErrorKind.OVERLOADED, "sent " + c.attemptCount + " times");
      return false;
    }
    return true;
  }
}
