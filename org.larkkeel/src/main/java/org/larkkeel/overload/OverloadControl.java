/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.overload;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Forecasts the waits of the calls of one service and decides which of them wait.
 *
 * <p>A call is judged when it begins to wait, and again at each review. Among the calls of a rank,
 * those that are forecast to meet their targets go first, so that a call that misses its target
 * does not make others miss theirs. Invariants: each call that was judged and not rejected is known
 * here until it is granted or removed; without a measured rate, no call is rejected. Not
 * thread-safe.
 *
 * @param <C> the type of calls, with identity by {@code equals}
 * @param <R> the type of ranks; a smaller rank is more urgent
 * @since 0.1
 */
public final class OverloadControl<C, R extends Comparable<R>> {
  /** The interval between two reviews, in nanoseconds; a quarter of the first event's lead. */
  public static final long REVIEW_NANOS = 50_000_000L;

  /**
   * The maximum number of calls in the backlog of a node, as each holds a request body of about 3
   * KB and a connection.
   */
  public static final int MAX_BACKLOG = 64;

  /** The maximum forecast, in nanoseconds; it exceeds all limits and prevents an overflow. */
  private static final double MAX_FORECAST_NANOS = 3.6e12;

  private final GrantRate rate;
  private final ForecastErrors<R> errors = new ForecastErrors<>();
  private final ReturnSchedule returns = new ReturnSchedule();
  private final WaitingUnits<R> waiting = new WaitingUnits<>();
  private final Map<C, Ticket<R>> tickets = new HashMap<>();
  private long reviewedAt;

  /** What was forecast for a waiting call. */
  private static final class Ticket<R extends Comparable<R>> {
    private final Candidate<R> candidate;
    private WaitGroup group;
    private OptionalLong predictedNanos = OptionalLong.empty();
    private long predictedAt;

    Ticket(Candidate<R> candidate, WaitGroup group) {
      this.candidate = candidate;
      this.group = group;
    }
  }

  /** A waiting call for a review. */
  public record Entry<C, R extends Comparable<R>>(C call, Candidate<R> candidate) {}

  /** A verdict that differs from the previous one about a call. */
  public record Change<C>(C call, Verdict verdict) {}

  /** The forecast for a call that arrives now. */
  public record Outlook(long forecastNanos, long marginNanos) {
    /** Returns the forecast with its margin, in nanoseconds. */
    public long totalNanos() {
      return forecastNanos + marginNanos;
    }
  }

  /** Creates a control that begins to measure at the given time. */
  public OverloadControl(long startedAt) {
    rate = new GrantRate(startedAt);
    reviewedAt = startedAt;
  }

  /** Returns whether there is a forecast. */
  public boolean hasForecast(long at) {
    return rate.unitsPerNano(at).isPresent();
  }

  /** Returns the number of calls that were judged and wait. */
  public int waitingCount() {
    return tickets.size();
  }

  /** Returns whether a call was judged and waits. */
  public boolean isWaiting(C call) {
    return tickets.containsKey(call);
  }

  /** Returns whether a call waits in the backlog. */
  public boolean isInBacklog(C call) {
    Ticket<R> ticket = tickets.get(call);
    return ticket != null && ticket.group == WaitGroup.BACKLOG;
  }

  /**
   * Decides about a call that begins to wait, as the last of its rank and group. Unless it is
   * rejected, it is known here from now on.
   */
  public Verdict judge(long at, C call, Candidate<R> candidate) {
    OptionalDouble measured = rate.unitsPerNano(at);
    boolean canMeetTarget = at <= candidate.limits().targetAt();
    if (measured.isEmpty()) {
      keep(at, call, candidate, canMeetTarget ? WaitGroup.ON_TIME : WaitGroup.BACKLOG);
      return new Verdict.NoForecast();
    }
    double unitsPerNano = measured.getAsDouble();
    long aheadOnTime = waiting.upTo(candidate.in(WaitGroup.ON_TIME));
    Verdict verdict =
        onTime(at, candidate, aheadOnTime, unitsPerNano)
            .orElseGet(
                () ->
                    late(
                        at,
                        candidate,
                        waiting.upTo(candidate.in(WaitGroup.BACKLOG)),
                        unitsPerNano));
    if (verdict instanceof Verdict.Wait wait) {
      keep(at, call, candidate, wait.group());
      predict(at, tickets.get(call), wait.forecastNanos());
    }
    return verdict;
  }

  private void keep(long at, C call, Candidate<R> candidate, WaitGroup group) {
    removeTicket(call);
    tickets.put(call, new Ticket<>(candidate, group));
    waiting.add(candidate.in(group), candidate.units());
    rate.setWaiting(at, true);
  }

  private static void predict(long at, Ticket<?> ticket, long forecastNanos) {
    ticket.predictedNanos = OptionalLong.of(forecastNanos);
    ticket.predictedAt = at;
  }

  /**
   * Returns the verdict that a call waits among those on time; empty if it misses its target. A
   * call with unbounded limits is not set aside on a forecast.
   */
  private Optional<Verdict> onTime(
      long at, Candidate<R> candidate, long unitsAhead, double unitsPerNano) {
    CallLimits limits = candidate.limits();
    long margin = errors.marginNanos(at, candidate.rank());
    long forecast = forecastNanos(unitsAhead, unitsPerNano);
    long limitAt = candidate.streaming() ? limits.deadlineAt() : limits.targetAt();
    boolean isJudged = !candidate.streaming() && !limits.isUnbounded();
    boolean meets = isWithin(at, isJudged ? forecast + margin : 0, limitAt);
    return candidate.streaming() || meets
        ? Optional.of(new Verdict.Wait(WaitGroup.ON_TIME, forecast, margin, limitAt))
        : Optional.empty();
  }

  /**
   * Returns the verdict about a call that misses its target. A call whose turn is beyond its limit,
   * and for whose retry no capacity is forecast either, waits until its limit passes: an early
   * rejection would give its caller nothing, and the forecast of a far turn is the least certain.
   */
  private Verdict late(long at, Candidate<R> candidate, long unitsAhead, double unitsPerNano) {
    CallLimits limits = candidate.limits();
    long margin = errors.marginNanos(at, candidate.rank());
    long forecast = forecastNanos(unitsAhead, unitsPerNano);
    if (isWithin(at, forecast + margin, limits.abandonAt())) {
      return new Verdict.Wait(WaitGroup.BACKLOG, forecast, margin, limits.abandonAt());
    }
    OptionalLong retryAfter =
        returns.claim(at, at + forecast, limits.deadlineAt(), candidate.units(), unitsPerNano);
    if (retryAfter.isEmpty() && at < limits.abandonAt()) {
      return new Verdict.Wait(WaitGroup.BACKLOG, forecast, margin, limits.abandonAt());
    }
    return new Verdict.Reject(forecast, margin, limits.abandonAt(), retryAfter);
  }

  private static boolean isWithin(long at, long nanos, long limitAt) {
    return limitAt == Long.MAX_VALUE || nanos <= limitAt - at;
  }

  private static long forecastNanos(long unitsAhead, double unitsPerNano) {
    return (long) Math.min(MAX_FORECAST_NANOS, unitsAhead / unitsPerNano);
  }

  /**
   * Claims capacity for the retry of a call that is rejected for another reason than its forecast.
   *
   * @return the Retry-After in nanoseconds; empty if no capacity is forecast in time
   */
  public OptionalLong claimReturn(long at, Candidate<R> candidate) {
    OptionalDouble measured = rate.unitsPerNano(at);
    if (measured.isEmpty()) {
      return OptionalLong.empty();
    }
    double unitsPerNano = measured.getAsDouble();
    long forecast = forecastNanos(waiting.upTo(candidate.in(WaitGroup.BACKLOG)), unitsPerNano);
    return returns.claim(
        at, at + forecast, candidate.limits().deadlineAt(), candidate.units(), unitsPerNano);
  }

  /** Returns the time at which a review is due. */
  public long nextReviewAt() {
    return reviewedAt + REVIEW_NANOS;
  }

  /**
   * Decides again about all waiting calls. Calls that are rejected are no longer known here.
   *
   * @param at now
   * @param inOrder all waiting calls of the service in the order of the queue, streaming calls
   *     first and then by rank
   * @return the calls that are rejected or that change between the groups
   */
  public ImmutableList<Change<C>> review(long at, List<Entry<C, R>> inOrder) {
    reviewedAt = at;
    OptionalDouble measured = rate.unitsPerNano(at);
    if (measured.isEmpty()) {
      return ImmutableList.of();
    }
    ImmutableList.Builder<Change<C>> changes = ImmutableList.builder();
    long ahead = 0;
    for (List<Entry<C, R>> rank : byRank(inOrder)) {
      ahead = reviewRank(at, rank, ahead, measured.getAsDouble(), changes);
    }
    rate.setWaiting(at, !tickets.isEmpty());
    return changes.build();
  }

  private List<List<Entry<C, R>>> byRank(List<Entry<C, R>> inOrder) {
    List<List<Entry<C, R>>> ranks = new ArrayList<>();
    QueueClass<R> current = null;
    for (Entry<C, R> entry : inOrder) {
      QueueClass<R> queueClass = entry.candidate().in(WaitGroup.ON_TIME);
      if (!queueClass.equals(current)) {
        current = queueClass;
        ranks.add(new ArrayList<>());
      }
      ranks.getLast().add(entry);
    }
    return ranks;
  }

  /** Reviews the calls of one rank; returns the units that are ahead of the next one. */
  private long reviewRank(
      long at,
      List<Entry<C, R>> calls,
      long unitsAhead,
      double unitsPerNano,
      ImmutableList.Builder<Change<C>> changes) {
    long ahead = unitsAhead;
    List<Entry<C, R>> late = new ArrayList<>();
    for (Entry<C, R> entry : calls) {
      Optional<Verdict> verdict = onTime(at, entry.candidate(), ahead, unitsPerNano);
      if (verdict.isPresent()) {
        ahead += entry.candidate().units();
        apply(at, entry, verdict.get(), changes);
      } else {
        late.add(entry);
      }
    }
    for (Entry<C, R> entry : late) {
      Verdict verdict = late(at, entry.candidate(), ahead, unitsPerNano);
      if (verdict instanceof Verdict.Wait) {
        ahead += entry.candidate().units();
      }
      apply(at, entry, verdict, changes);
    }
    return ahead;
  }

  private void apply(
      long at, Entry<C, R> entry, Verdict verdict, ImmutableList.Builder<Change<C>> changes) {
    Ticket<R> ticket = tickets.get(entry.call());
    switch (verdict) {
      case Verdict.Wait wait -> {
        if (ticket == null) {
          keep(at, entry.call(), entry.candidate(), wait.group());
          predict(at, tickets.get(entry.call()), wait.forecastNanos());
        } else if (ticket.group != wait.group()) {
          waiting.remove(ticket.candidate.in(ticket.group), ticket.candidate.units());
          ticket.group = wait.group();
          waiting.add(ticket.candidate.in(ticket.group), ticket.candidate.units());
          predict(at, ticket, wait.forecastNanos());
          changes.add(new Change<>(entry.call(), verdict));
        } else if (ticket.predictedNanos.isEmpty()) {
          predict(at, ticket, wait.forecastNanos());
        }
      }
      case Verdict.Reject r -> {
        removed(at, entry.call());
        changes.add(new Change<>(entry.call(), verdict));
      }
      case Verdict.NoForecast n -> {}
    }
  }

  /** Records that a call got its reservation, whether it was judged before or not. */
  public void granted(long at, C call, long units) {
    rate.granted(at, units);
    Ticket<R> ticket = removeTicket(call);
    if (ticket != null && ticket.predictedNanos.isPresent()) {
      errors.record(
          at, ticket.candidate.rank(), ticket.predictedNanos.getAsLong(), at - ticket.predictedAt);
    }
    rate.setWaiting(at, !tickets.isEmpty());
  }

  /**
   * Records that a call no longer waits and got no reservation. If it waited for longer than
   * forecast, the excess counts as an error; otherwise only the waits of calls that were served
   * would count.
   */
  public void removed(long at, C call) {
    Ticket<R> ticket = removeTicket(call);
    if (ticket != null
        && ticket.predictedNanos.isPresent()
        && at - ticket.predictedAt > ticket.predictedNanos.getAsLong()) {
      errors.record(
          at, ticket.candidate.rank(), ticket.predictedNanos.getAsLong(), at - ticket.predictedAt);
    }
    rate.setWaiting(at, !tickets.isEmpty());
  }

  private Ticket<R> removeTicket(C call) {
    Ticket<R> ticket = tickets.remove(call);
    if (ticket != null) {
      waiting.remove(ticket.candidate.in(ticket.group), ticket.candidate.units());
    }
    return ticket;
  }

  /**
   * Returns the forecast for a call of a rank that arrives now and misses its target; empty without
   * a forecast.
   */
  public Optional<Outlook> outlook(long at, R rank) {
    OptionalDouble measured = rate.unitsPerNano(at);
    if (measured.isEmpty()) {
      return Optional.empty();
    }
    long ahead = waiting.upTo(new QueueClass<>(false, rank, WaitGroup.BACKLOG));
    return Optional.of(
        new Outlook(forecastNanos(ahead, measured.getAsDouble()), errors.marginNanos(at, rank)));
  }

  /** Returns the mean error of the forecasts of a rank: predicted less actual, in nanoseconds. */
  public long meanErrorNanos(R rank) {
    return errors.meanErrorNanos(rank);
  }
}
