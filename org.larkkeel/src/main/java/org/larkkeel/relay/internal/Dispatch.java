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
 * Sends calls: where to, and whether they may be sent at all.
 *
 * <p>Invariant: a call is sent only while its caller's key holds, its request is not quarantined,
 * and repeats are left of its service's budget. Not safe for use by several threads.
 */
final class Dispatch {
  private static final long MILLI = 1_000_000L;

  /** The most sends of one call, those included that reached no upstream. */
  static final int MOST_SENDS = 6;

  private final Parts parts;
  private boolean draining;

  Dispatch(Parts parts) {
    this.parts = parts;
  }

  /** From now on calls that need memory are sent on without it. */
  void drain() {
    draining = true;
  }

  boolean isDraining() {
    return draining;
  }

  /** Goes on with a call that is within its quota. */
  void withinQuota(long at, CallState c) {
    parts.repeats.first(at, c.service);
    if (parts.rooms.needsRoom(c)) {
      parts.rooms.settle(at, c);
    } else {
      run(at, c);
    }
  }

  /** Begins the work on a call for which memory is set aside. */
  void begin(long at, CallState c, Optional<Choice> reader) {
    if (reader.isPresent()) {
      send(at, c, reader.get(), new Purpose.ReadPrompt(), c.call.size().prompt());
    } else {
      run(at, c);
    }
  }

  /** Sends the call to be run: at its home if it has one that still takes work. */
  void run(long at, CallState c) {
    boolean memory = parts.rooms.needsRoom(c);
    if (memory && ((c.home != null && isUsable(at, c, c.home)) || parts.rooms.findHome(at, c))) {
      send(at, c, new Choice(c.home, 0, "", 0, 1), purpose(at, c), 0);
    } else if (!memory) {
      place(at, c, parts.rooms.need(c, at));
    } else if (draining || !parts.fleet.has(at, c.service, c.without)) {
      place(at, c, Sizing.forced(parts.rooms.need(c, at)));
    } else {
      parts.prompts.free(c);
      parts.rooms.await(at, c);
    }
  }

  /** Sends the call to the upstream that fits best; gives it up if there is none. */
  void place(long at, CallState c, Need need) {
    Optional<Choice> choice =
        parts.fleet.choose(at, c.service, Stage::runs, c.without, parts.settings.place(), need);
    if (choice.isEmpty()) {
      parts.prompts.free(c);
      noUpstream(at, c);
      return;
    }
    boolean memory = parts.rooms.needsRoom(c);
    if (memory) {
      c.moveIn(choice.get().best(), need.units());
    }
    send(at, c, choice.get(), purpose(at, c), memory ? 0 : need.units());
  }

  private void noUpstream(long at, CallState c) {
    OptionalLong opens = parts.fleet.takesWorkAt(at, c.service, c.without);
    if (opens.isPresent()) {
      parts.permits.await(at, c, opens.getAsLong());
    } else {
      parts.open.giveUp(at, c, ErrorKind.NO_UPSTREAM, "no upstream of " + c.service + " is left");
    }
  }

  Purpose purpose(long at, CallState c) {
    if (c.prompt != null) {
      return c.prompt;
    }
    return parts.rooms.keeps(at, c).<Purpose>map(Purpose.Fetch::new).orElseGet(Purpose.Run::new);
  }

  boolean isUsable(long at, CallState c, UpstreamState s) {
    return s.takesWork(at) && !s.isMissing() && !s.isAvoided(at) && !c.without.contains(s.life());
  }

  void send(long at, CallState c, Choice choice, Purpose purpose, long units) {
    if (!(purpose instanceof Purpose.Continue) && !parts.admission.isAllowed(c)) {
      parts.open.giveUp(at, c, ErrorKind.UNAUTHENTICATED, 0, Admission.refusal(c.call));
      return;
    }
    long left = parts.guard.remainingNanos(at, c.call);
    if (left > 0) {
      parts.open.giveUp(at, c, ErrorKind.QUARANTINED, left / MILLI, CrashGuard.REFUSAL);
      return;
    }
    if (c.sends >= MOST_SENDS) {
      parts.open.giveUp(at, c, ErrorKind.OVERLOADED, "sent " + c.sends + " times");
      return;
    }
    boolean repeat = c.arrivals > 0;
    if (repeat && !parts.repeats.take(at, c.service)) {
      parts.report(parts.repeats.spent(at, c));
      parts.open.giveUp(at, c, ErrorKind.OVERLOADED, "the budget of repeats is used up");
      return;
    }
    parts.attempts.begin(at, c, choice, purpose, repeat, units);
  }
}
