/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.overload;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Decides which engines of one service are dedicated to calls that fit at no engine, so that free
 * capacity accumulates there while other calls proceed at the other engines.
 *
 * <p>Dedications go to the first calls of the queue: a call takes over the engine of one behind it
 * if all dedications are in use. Invariant: an engine is dedicated to at most one call, a call has
 * at most one engine, and each dedication ends within {@link #MAX_NANOS}. Times are in nanoseconds
 * and do not decrease. Not thread-safe.
 *
 * @param <C> the calls, compared by {@code equals}
 * @param <E> the ids of engines
 * @since 0.1
 */
public final class GatheredCapacity<C, E> {
  /**
   * The share of a service's engines that may be dedicated at a time, as a divisor. With one engine
   * in eight half empty, calls that fit elsewhere lose at most a sixteenth of the capacity.
   */
  public static final int ENGINES_PER_DEDICATION = 8;

  /**
   * The maximum duration of a dedication. A full engine with 7 calls of 3.3 s is half empty after
   * 1.9 s; a caller that waits longer is late by any target.
   */
  public static final long MAX_NANOS = 2_000_000_000L;

  /**
   * The maximum share of an engine's memory that its calls may reserve. A larger call fits at no
   * engine, and the rest is left to the growth of calls beyond their hints.
   */
  public static final double MAX_MEMORY_SHARE = 0.97;

  private final Map<C, Dedication<C, E>> byCall = new LinkedHashMap<>();
  private final Map<E, C> byEngine = new HashMap<>();

  /** The times until which calls whose dedication expired get no other one. */
  private final Map<C, Long> barredUntil = new HashMap<>();

  /**
   * An engine that is dedicated to a call.
   *
   * @param call the call
   * @param engine the engine
   * @param since the time at which the dedication began
   */
  public record Dedication<C, E>(C call, E engine, long since) {}

  /**
   * An engine that could be dedicated to a call.
   *
   * @param engine the engine
   * @param free its free capacity in tokens; negative if it has more than the fill bound allows
   */
  public record Candidate<E>(E engine, long free) {}

  /** Why a dedication ended. */
  public enum EndReason {
    /** The call got its reservation. */
    PLACED,

    /** The call no longer waits: its caller left, it was rejected, or its node is lost. */
    CALL_ENDED,

    /** The engine is lost, restarted, leaving or ejected, or the number of engines fell. */
    ENGINE_LOST,

    /** The maximum duration has passed. */
    EXPIRED,

    /** A call that is ahead in the queue's order took over the engine. */
    DISPLACED,

    /** The node no longer orders the queue, or orders another one. */
    COORDINATOR_CHANGED,

    /** The service is no longer contended. */
    NOT_CONTENDED
  }

  /** Whether a call still needs its dedication. */
  public enum CallStatus {
    /** The call waits. */
    WAITING,

    /** The call has a reservation. */
    PLACED,

    /** The call neither waits nor has a reservation. */
    ENDED
  }

  /** A change of the dedications. */
  public sealed interface Change<C, E> {
    /** Returns the dedication that began or ended. */
    Dedication<C, E> dedication();

    /**
     * A dedication began.
     *
     * @param free the free capacity of the engine at that time, in tokens
     */
    record Began<C, E>(Dedication<C, E> dedication, long free) implements Change<C, E> {}

    /** A dedication ended. */
    record Ended<C, E>(Dedication<C, E> dedication, EndReason reason) implements Change<C, E> {}
  }

  /** Returns the maximum number of dedications for a number of engines; at least 1. */
  public static int maxDedications(int engines) {
    return Math.max(1, engines / ENGINES_PER_DEDICATION);
  }

  /** Returns whether a call can never fit at an engine with {@code memoryTokens}. */
  public static boolean isTooLarge(long units, long memoryTokens) {
    return units > MAX_MEMORY_SHARE * memoryTokens;
  }

  /** Returns whether nothing is dedicated and no call is barred. */
  public boolean isEmpty() {
    return byCall.isEmpty() && barredUntil.isEmpty();
  }

  /** Returns the number of dedicated engines. */
  public int size() {
    return byCall.size();
  }

  /** Returns whether an engine is dedicated to a call, whichever it is. */
  public boolean isDedicated(E engine) {
    return byEngine.containsKey(engine);
  }

  /** Returns the engine that is dedicated to a call; empty if none is. */
  public Optional<E> engineOf(C call) {
    return Optional.ofNullable(byCall.get(call)).map(Dedication::engine);
  }

  /**
   * Ends the dedications that are no longer needed or allowed.
   *
   * @param at now
   * @param status returns the status of a call
   * @param isUsable whether calls can be placed at an engine once it has capacity
   * @param max the maximum number of dedications
   * @return the dedications that ended
   */
  public List<Change.Ended<C, E>> refresh(
      long at, Function<C, CallStatus> status, Predicate<E> isUsable, int max) {
    barredUntil
        .entrySet()
        .removeIf(e -> at >= e.getValue() || status.apply(e.getKey()) != CallStatus.WAITING);
    List<Change.Ended<C, E>> ended = new ArrayList<>();
    int kept = 0;
    for (Iterator<Dedication<C, E>> i = byCall.values().iterator(); i.hasNext(); ) {
      Dedication<C, E> d = i.next();
      Optional<EndReason> reason = endReason(at, d, status, isUsable, kept < max);
      if (reason.isEmpty()) {
        kept++;
        continue;
      }
      i.remove();
      byEngine.remove(d.engine());
      if (reason.get() == EndReason.EXPIRED) {
        barredUntil.put(d.call(), at + MAX_NANOS);
      }
      ended.add(new Change.Ended<>(d, reason.get()));
    }
    return ended;
  }

  private Optional<EndReason> endReason(
      long at,
      Dedication<C, E> d,
      Function<C, CallStatus> status,
      Predicate<E> isUsable,
      boolean isWithinMax) {
    switch (status.apply(d.call())) {
      case PLACED:
        return Optional.of(EndReason.PLACED);
      case ENDED:
        return Optional.of(EndReason.CALL_ENDED);
      default:
        break;
    }
    if (!isUsable.test(d.engine()) || !isWithinMax) {
      return Optional.of(EndReason.ENGINE_LOST);
    }
    return at - d.since() >= MAX_NANOS ? Optional.of(EndReason.EXPIRED) : Optional.empty();
  }

  /** Ends all dedications for one reason, and forgets the calls whose dedication expired. */
  public List<Change.Ended<C, E>> endAll(EndReason reason) {
    barredUntil.clear();
    List<Change.Ended<C, E>> ended = new ArrayList<>();
    byCall.values().forEach(d -> ended.add(new Change.Ended<>(d, reason)));
    byCall.clear();
    byEngine.clear();
    return ended;
  }

  /**
   * Returns whether {@link #dedicate} may find an engine for a call, without a look at the engines.
   *
   * @param call a call that fits at no engine
   * @param max the maximum number of dedications
   * @param ahead the calls that are ahead of it in the queue's order
   */
  public boolean mayDedicate(C call, int max, Set<C> ahead) {
    return !byCall.containsKey(call)
        && !barredUntil.containsKey(call)
        && (byCall.size() < max || !ahead.containsAll(byCall.keySet()));
  }

  /**
   * Dedicates to a call the engine with the most free capacity: one that is not dedicated, or, if
   * all dedications are in use, that of a call behind it.
   *
   * @param at now
   * @param call a call that fits at no engine
   * @param candidates the engines at which it could be placed if they had enough free capacity
   * @param max the maximum number of dedications
   * @param ahead the calls that are ahead of it in the queue's order
   * @return the changes, in order; none if the call gets no engine
   */
  public List<Change<C, E>> dedicate(
      long at, C call, Collection<Candidate<E>> candidates, int max, Set<C> ahead) {
    if (!mayDedicate(call, max, ahead)) {
      return List.of();
    }
    boolean takesOver = byCall.size() >= max;
    Optional<Candidate<E>> best =
        candidates.stream()
            .filter(
                c ->
                    takesOver
                        ? isDedicated(c.engine()) && !ahead.contains(byEngine.get(c.engine()))
                        : !isDedicated(c.engine()))
            .max(Comparator.comparingLong(Candidate::free));
    if (best.isEmpty()) {
      return List.of();
    }
    E engine = best.get().engine();
    List<Change<C, E>> changes = new ArrayList<>();
    if (takesOver) {
      Dedication<C, E> displaced = byCall.remove(byEngine.get(engine));
      changes.add(new Change.Ended<>(displaced, EndReason.DISPLACED));
    }
    Dedication<C, E> dedication = new Dedication<>(call, engine, at);
    byCall.put(call, dedication);
    byEngine.put(engine, call);
    changes.add(new Change.Began<>(dedication, best.get().free()));
    return changes;
  }
}
