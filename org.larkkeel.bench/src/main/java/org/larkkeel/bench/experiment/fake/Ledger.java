/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fake;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.larkkeel.bench.experiment.scenario.Arrival;
import org.larkkeel.call.RunKey;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.Execution;

/**
 * Records the actual execution of each request at the upstreams and its result for the caller.
 *
 * <p>Invariant: a request has one result; a second answer is counted as a violation. Not safe for
 * use by several threads.
 *
 * @since 0.1
 */
public final class Ledger {
  private final ImmutableList<Arrival> arrivals;
  private final Outcome[] outcomes;
  private final Map<WorkId, Double> computed = new HashMap<>();
  private final Set<WorkId> used = new HashSet<>();
  private final Set<RunKey> runs = new HashSet<>();
  private final Map<Violation, Integer> violations = new TreeMap<>();
  private double computedTokens;
  private double usedTokens;
  private int waiting;
  private int noSlots;
  private int evictions;

  /** The violations of the router's guarantees. */
  public enum Violation {
    /** The request was refused as not run, but it ran. */
    RAN_THOUGH_TOLD_NOT_RUN,
    /** The request received a second answer or another second end. */
    ANSWERED_TWICE,
    /** A non-idempotent call ran twice. */
    RAN_TWICE,
    /** The answer ended before its last token or has a gap. */
    ANSWER_CUT,
    /** The request received no answer. */
    NEVER_ANSWERED,
    /** An upstream still holds resources for an ended request. */
    STILL_HELD
  }

  /** The result of a request for its caller. */
  public enum End {
    /** The request has not ended. */
    OPEN,
    /** The answer is complete. */
    ANSWERED,
    /** The request was answered with an error. */
    REFUSED,
    /** The caller disconnected before the end. */
    LEFT
  }

  /** The execution and the result of one request. */
  public static final class Outcome {
    private End end = End.OPEN;
    private ErrorKind error;
    private long firstAt = Long.MIN_VALUE;
    private long endAt;
    private boolean reached;
    private boolean ran;
    private int activeEngines;

    /**
     * Returns the result for the caller.
     *
     * @return the result
     */
    public End end() {
      return end;
    }

    /**
     * Returns the error with which the request was refused.
     *
     * @return the kind; null unless refused
     */
    public ErrorKind error() {
      return error;
    }

    /**
     * Returns the time at which the first token reached the node.
     *
     * @return nanoseconds, {@link Long#MIN_VALUE} if none did
     */
    public long firstAt() {
      return firstAt;
    }

    /**
     * Returns the time of the end.
     *
     * @return nanoseconds
     */
    public long endAt() {
      return endAt;
    }

    /**
     * Returns whether an upstream accepted the request.
     *
     * @return true if one did
     */
    public boolean reached() {
      return reached;
    }
  }

  Ledger(ImmutableList<Arrival> arrivals) {
    this.arrivals = arrivals;
    this.outcomes = new Outcome[arrivals.size()];
  }

  /**
   * Returns the outcome of a request.
   *
   * @param arrival the request
   * @return the outcome
   */
  public Outcome outcomeOf(Arrival arrival) {
    return outcomes[arrival.index()];
  }

  /**
   * Returns the requests of the run.
   *
   * @return the requests in the order of arrival
   */
  public List<Arrival> arrivals() {
    return arrivals;
  }

  /**
   * Returns the number of violations by kind.
   *
   * @return counts by kind, without kinds that did not occur
   */
  public Map<Violation, Integer> violations() {
    return violations;
  }

  /**
   * Returns the number of prompt tokens that all prefill engines computed.
   *
   * @return tokens
   */
  public double computedTokens() {
    return computedTokens;
  }

  /**
   * Returns the number of computed prompt tokens whose KV cache yielded at least one token.
   *
   * @return tokens
   */
  public double usedTokens() {
    return usedTokens;
  }

  /**
   * Returns the number of transfers that were refused because the decode engine had no slot.
   *
   * @return the number of transfers
   */
  public int noSlots() {
    return noSlots;
  }

  /**
   * Returns the number of transfers that failed because the KV cache was evicted.
   *
   * @return the number of transfers
   */
  public int evictions() {
    return evictions;
  }

  /** Returns the number of open completions that run on no engine. */
  int waiting() {
    return waiting;
  }

  void recordArrival(Arrival arrival) {
    outcomes[arrival.index()] = new Outcome();
    waiting += arrival.kind().plain() ? 0 : 1;
  }

  void recordReached(Arrival arrival) {
    outcomeOf(arrival).reached = true;
  }

  void recordRun(Arrival arrival) {
    Outcome outcome = outcomeOf(arrival);
    outcome.ran = true;
    if (outcome.error != null && outcome.error.execution() == Execution.NOT_RUN) {
      addViolation(Violation.RAN_THOUGH_TOLD_NOT_RUN);
    }
  }

  void recordAtMostOnceRun(Arrival arrival) {
    if (arrival.runKey().isPresent() && !runs.add(arrival.runKey().get())) {
      addViolation(Violation.RAN_TWICE);
    }
  }

  void changeActiveEngines(Arrival arrival, int change) {
    Outcome outcome = outcomeOf(arrival);
    boolean waited = isWaiting(outcome);
    outcome.activeEngines += change;
    waiting += (isWaiting(outcome) ? 1 : 0) - (waited ? 1 : 0);
  }

  void countNoSlot() {
    noSlots++;
  }

  void countEviction() {
    evictions++;
  }

  void recordPrefill(WorkId id, double tokens) {
    computed.put(id, tokens);
    computedTokens += tokens;
  }

  void recordPrefillUse(WorkId id) {
    if (used.add(id)) {
      usedTokens += computed.getOrDefault(id, 0.0);
    }
  }

  void recordFirstToken(Arrival arrival, long at) {
    Outcome outcome = outcomeOf(arrival);
    if (outcome.firstAt == Long.MIN_VALUE) {
      outcome.firstAt = at;
    }
  }

  void recordAnswer(Arrival arrival, long at, int tokens) {
    if (!arrival.kind().plain() && tokens != arrival.output()) {
      addViolation(Violation.ANSWER_CUT);
    }
    recordEnd(arrival, at, End.ANSWERED);
  }

  void recordRefusal(Arrival arrival, long at, ErrorKind kind) {
    Outcome outcome = outcomeOf(arrival);
    if (kind.execution() == Execution.NOT_RUN && outcome.ran) {
      addViolation(Violation.RAN_THOUGH_TOLD_NOT_RUN);
    }
    if (recordEnd(arrival, at, End.REFUSED)) {
      outcome.error = kind;
    }
  }

  void recordDisconnect(Arrival arrival, long at) {
    recordEnd(arrival, at, End.LEFT);
  }

  void addViolation(Violation violation) {
    violations.merge(violation, 1, Integer::sum);
  }

  void recordOpenEnds(int held) {
    for (Arrival arrival : arrivals) {
      Outcome outcome = outcomeOf(arrival);
      if (outcome == null || outcome.end == End.OPEN) {
        addViolation(Violation.NEVER_ANSWERED);
      }
    }
    for (int i = 0; i < held; i++) {
      addViolation(Violation.STILL_HELD);
    }
  }

  private boolean recordEnd(Arrival arrival, long at, End end) {
    Outcome outcome = outcomeOf(arrival);
    if (outcome.end != End.OPEN) {
      addViolation(Violation.ANSWERED_TWICE);
      return false;
    }
    boolean waited = !arrival.kind().plain() && isWaiting(outcome);
    outcome.end = end;
    outcome.endAt = at;
    waiting -= waited ? 1 : 0;
    return true;
  }

  private static boolean isWaiting(Outcome outcome) {
    return outcome.end == End.OPEN && outcome.activeEngines == 0;
  }
}
