/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayWorkspace;

/**
 * The sends that are in flight.
 *
 * <p>Invariant: a call has at most one, and the load of its upstream counts it until it is over.
 * Not safe for use by several threads.
 */
final class Attempts {
  private static final double MILLI = 1e6;

  private final Fleet fleet;
  private final Timers timers;
  private final Consumer<RelayEffect> effects;
  private final Map<AttemptId, AttemptState> inFlight = new HashMap<>();
  private long last;

  Attempts(Fleet fleet, Timers timers, Consumer<RelayEffect> effects) {
    this.fleet = fleet;
    this.timers = timers;
    this.effects = effects;
  }

  /** All in flight; a copy. */
  List<AttemptState> all() {
    return List.copyOf(inFlight.values());
  }

  /** The attempt if it is in flight still. */
  Optional<AttemptState> find(AttemptId id) {
    return Optional.ofNullable(inFlight.get(id)).filter(a -> a.call().attempt == a);
  }

  /**
   * Sends a call.
   *
   * @param at now
   * @param c the call, which has none in flight
   * @param choice where to
   * @param purpose what for
   * @param isRepeat whether it was taken from the budget of repeats
   * @param units what it adds to the load of the upstream
   */
  void begin(long at, CallState c, Choice choice, Purpose purpose, boolean isRepeat, long units) {
    AttemptId id = new AttemptId(++last);
    AttemptState a = new AttemptState(id, c, choice.best(), purpose, at, isRepeat, units);
    c.sends++;
    c.arrivals++;
    if (a.beginsRun()) {
      c.runs++;
    }
    c.attempt = a;
    c.attemptBeganAt = Long.MIN_VALUE;
    inFlight.put(id, a);
    choice.best().started();
    choice.best().addLoad(units);
    effects.accept(new RelayEffect.Report(placed(c, a, choice)));
    long patience = Patience.of(a, fleet.unit(a.upstream(), at));
    if (patience < c.deadline - at) {
      timers.add(new Timers.Due.Patience(at + patience, id));
    }
    effects.accept(
        new RelayEffect.Send(
            id,
            c.call.id(),
            choice.best().upstream(),
            purpose,
            c.deadline,
            Patience.silence(a),
            c.workspace.map(RelayWorkspace::name)));
  }

  private static RelayFact placed(CallState c, AttemptState a, Choice choice) {
    return new RelayFact.Placed(
        c.call.wireId(),
        a.id(),
        a.purpose().getClass().getSimpleName(),
        choice.best().upstream().id(),
        choice.cost() / MILLI,
        choice.runnerUp(),
        choice.runnerUpCost() / MILLI,
        c.sends,
        choice.candidates());
  }

  /** Notes that one is over, in whatever way. */
  void over(AttemptState a) {
    inFlight.remove(a.id());
    a.upstream().ended();
    a.upstream().addLoad(-a.units());
    a.call().attempt = null;
  }

  /** Tells that the connection of one has broken, after it is over. */
  void broken(long at, AttemptState a) {
    CallState c = a.call();
    long begun = c.attemptBeganAt == Long.MIN_VALUE ? -1 : at - c.attemptBeganAt;
    effects.accept(
        new RelayEffect.Report(
            new RelayFact.AttemptBroken(
                c.call.wireId(),
                a.id(),
                a.upstream().life(),
                c.call.identity().fingerprint(),
                at - a.sentAt(),
                begun,
                a.upstream().inFlight())));
  }

  /** Tells that one has ended without a usable answer. */
  void failed(AttemptState a, String cause, boolean mayHaveRun) {
    effects.accept(
        new RelayEffect.Report(
            new RelayFact.AttemptFailed(
                a.call().call.wireId(),
                a.id(),
                a.upstream().upstream().id(),
                cause,
                mayHaveRun && a.runs())));
  }
}
