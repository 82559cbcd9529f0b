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
 * Writes down what truly happened to each request, at the upstreams and towards its caller.
 *
 * <p>Invariant: a request is settled once; a second answer is counted as a violation. Not safe for
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

  /** A broken promise. */
  public enum Violation {
    /** The caller was told that the request did not run, and it did. */
    RAN_THOUGH_TOLD_NOT_RUN,
    /** The request was answered or ended twice. */
    ANSWERED_TWICE,
    /** A non-idempotent call ran twice. */
    RAN_TWICE,
    /** The answer ended before its last token, or has a gap. */
    ANSWER_CUT,
    /** The request never got an answer. */
    NEVER_ANSWERED,
    /** An upstream still holds something for an ended request. */
    STILL_HELD
  }

  /** How a request ended for its caller. */
  public enum End {
    /** Not yet. */
    OPEN,
    /** Answered in full. */
    ANSWERED,
    /** Answered with an error. */
    REFUSED,
    /** The caller left first. */
    LEFT
  }

  /** What happened to one request. */
  public static final class Outcome {
    private End end = End.OPEN;
    private ErrorKind error;
    private long firstAt = Long.MIN_VALUE;
    private long endAt;
    private boolean reached;
    private boolean ran;
    private int active;

    /**
     * How it ended.
     *
     * @return the end
     */
    public End end() {
      return end;
    }

    /**
     * The error told to the caller.
     *
     * @return the kind; null unless refused
     */
    public ErrorKind error() {
      return error;
    }

    /**
     * When the first token reached the node.
     *
     * @return nanoseconds, {@link Long#MIN_VALUE} if none did
     */
    public long firstAt() {
      return firstAt;
    }

    /**
     * When it ended.
     *
     * @return nanoseconds
     */
    public long endAt() {
      return endAt;
    }

    /**
     * Whether an upstream accepted it.
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
   * What happened to a request.
   *
   * @param arrival the request
   * @return its outcome
   */
  public Outcome of(Arrival arrival) {
    return outcomes[arrival.index()];
  }

  /**
   * The requests of the run.
   *
   * @return in the order of arrival
   */
  public List<Arrival> arrivals() {
    return arrivals;
  }

  /**
   * The broken promises.
   *
   * @return counts by kind, of those that happened
   */
  public Map<Violation, Integer> violations() {
    return violations;
  }

  /**
   * Prompt tokens computed by all prefill engines.
   *
   * @return tokens
   */
  public double computedTokens() {
    return computedTokens;
  }

  /**
   * Prompt tokens computed whose KV cache yielded at least a token.
   *
   * @return tokens
   */
  public double usedTokens() {
    return usedTokens;
  }

  /**
   * Transfers refused because the decode engine had no slot.
   *
   * @return their number
   */
  public int noSlots() {
    return noSlots;
  }

  /**
   * Transfers refused because the KV cache was gone.
   *
   * @return their number
   */
  public int evictions() {
    return evictions;
  }

  /** Completions that arrived, are open, and are at no engine. */
  int waiting() {
    return waiting;
  }

  void arrived(Arrival arrival) {
    outcomes[arrival.index()] = new Outcome();
    waiting += arrival.kind().plain() ? 0 : 1;
  }

  void reached(Arrival arrival) {
    of(arrival).reached = true;
  }

  void ran(Arrival arrival) {
    Outcome outcome = of(arrival);
    outcome.ran = true;
    if (outcome.error != null && outcome.error.execution() == Execution.NOT_RUN) {
      violate(Violation.RAN_THOUGH_TOLD_NOT_RUN);
    }
  }

  void ranOnce(Arrival arrival) {
    if (arrival.runKey().isPresent() && !runs.add(arrival.runKey().get())) {
      violate(Violation.RAN_TWICE);
    }
  }

  void engineActive(Arrival arrival, int change) {
    Outcome outcome = of(arrival);
    boolean waited = waits(outcome);
    outcome.active += change;
    waiting += (waits(outcome) ? 1 : 0) - (waited ? 1 : 0);
  }

  void noSlot() {
    noSlots++;
  }

  void evicted() {
    evictions++;
  }

  void prefillComputed(WorkId id, double tokens) {
    computed.put(id, tokens);
    computedTokens += tokens;
  }

  void prefillUsed(WorkId id) {
    if (used.add(id)) {
      usedTokens += computed.getOrDefault(id, 0.0);
    }
  }

  void firstToken(Arrival arrival, long at) {
    Outcome outcome = of(arrival);
    if (outcome.firstAt == Long.MIN_VALUE) {
      outcome.firstAt = at;
    }
  }

  void answered(Arrival arrival, long at, int tokens) {
    if (!arrival.kind().plain() && tokens != arrival.output()) {
      violate(Violation.ANSWER_CUT);
    }
    settle(arrival, at, End.ANSWERED);
  }

  void refused(Arrival arrival, long at, ErrorKind kind) {
    Outcome outcome = of(arrival);
    if (kind.execution() == Execution.NOT_RUN && outcome.ran) {
      violate(Violation.RAN_THOUGH_TOLD_NOT_RUN);
    }
    if (settle(arrival, at, End.REFUSED)) {
      outcome.error = kind;
    }
  }

  void left(Arrival arrival, long at) {
    settle(arrival, at, End.LEFT);
  }

  void violate(Violation violation) {
    violations.merge(violation, 1, Integer::sum);
  }

  void close(int held) {
    for (Arrival arrival : arrivals) {
      Outcome outcome = of(arrival);
      if (outcome == null || outcome.end == End.OPEN) {
        violate(Violation.NEVER_ANSWERED);
      }
    }
    for (int i = 0; i < held; i++) {
      violate(Violation.STILL_HELD);
    }
  }

  private boolean settle(Arrival arrival, long at, End end) {
    Outcome outcome = of(arrival);
    if (outcome.end != End.OPEN) {
      violate(Violation.ANSWERED_TWICE);
      return false;
    }
    boolean waited = !arrival.kind().plain() && waits(outcome);
    outcome.end = end;
    outcome.endAt = at;
    waiting -= waited ? 1 : 0;
    return true;
  }

  private static boolean waits(Outcome outcome) {
    return outcome.end == End.OPEN && outcome.active == 0;
  }
}
