/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.larkkeel.store.log.LogEntry;
import org.larkkeel.store.log.LogSnapshot;
import org.larkkeel.store.log.Replica;
import org.larkkeel.store.log.WriterId;

/**
 * The runs of one shard: the state that results from its log. Performs no I/O; not thread-safe.
 *
 * <p>Invariants: a run that is claimed or done can not be claimed by another token until it is
 * released or its retention expires; a done run stays done. Runs are kept in the order of their
 * claims.
 */
final class RunTable implements Replica {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final RunLimits limits;
  private final Map<RunId, Run> runs = new LinkedHashMap<>();
  private final Deque<RunId> answeredKeys = new ArrayDeque<>();
  private long answerBytes;

  RunTable(RunLimits limits) {
    this.limits = limits;
  }

  /** Returns the result that a claim would get, empty if the key is not claimed. */
  Optional<ClaimResult> lookup(ClaimRequest q, Predicate<WriterId> alive) {
    Run run = runs.get(q.key());
    if (run == null) {
      return Optional.empty();
    }
    if (!run.claim.bodyDigest().equals(q.bodyDigest())) {
      return Optional.of(new ClaimResult.KeyReused());
    }
    return Optional.of(
        switch (run.state) {
          case DONE -> new ClaimResult.AlreadyDone(run.answer);
          case LOST -> new ClaimResult.Unknown();
          case CLAIMED -> resultOfClaimed(run, q, alive);
        });
  }

  private static ClaimResult resultOfClaimed(Run run, ClaimRequest q, Predicate<WriterId> alive) {
    RunToken token = run.claim.token();
    if (token.equals(q.token())) {
      return new ClaimResult.Claimed(token);
    }
    return alive.test(token.claimant()) ? new ClaimResult.InProgress() : new ClaimResult.Unknown();
  }

  /** Returns whether an attempt holds its key. */
  boolean isCurrent(RunId key, RunToken token) {
    Run run = runs.get(key);
    return run != null && run.claim.token().equals(token);
  }

  boolean isDone(RunId key) {
    Run run = runs.get(key);
    return run != null && run.state == State.DONE;
  }

  int size() {
    return runs.size();
  }

  /** Removes the runs whose retention has expired. */
  void expire(long wallMillis) {
    long expiredMillis = wallMillis - limits.retention().toMillis();
    var it = runs.values().iterator();
    while (it.hasNext()) {
      Run run = it.next();
      if (run.claim.wallMillis() > expiredMillis) {
        return;
      }
      dropAnswer(run);
      it.remove();
    }
  }

  @Override
  public void apply(LogEntry e) {
    e.records().forEach(r -> apply(RunRecord.Codec.read(r)));
  }

  void apply(RunRecord r) {
    switch (r) {
      case RunRecord.Claim c -> runs.putIfAbsent(c.key(), new Run(c));
      case RunRecord.Done d -> done(d);
      case RunRecord.Release x -> release(x);
      case RunRecord.Lost l -> lost(l);
    }
  }

  private void done(RunRecord.Done d) {
    Run run = currentRun(d);
    if (run == null || run.state == State.DONE) {
      return;
    }
    run.state = State.DONE;
    run.answer = d.answer();
    if (run.answer.isPresent()) {
      answerBytes += answerSize(run);
      answeredKeys.addLast(d.key());
      dropOldestAnswers();
    }
  }

  private void release(RunRecord.Release r) {
    Run run = currentRun(r);
    if (run != null && run.state == State.CLAIMED) {
      runs.remove(r.key());
    }
  }

  private void lost(RunRecord.Lost l) {
    Run run = currentRun(l);
    if (run != null && run.state == State.CLAIMED) {
      run.state = State.LOST;
    }
  }

  private Run currentRun(RunRecord r) {
    return isCurrent(r.key(), r.token()) ? runs.get(r.key()) : null;
  }

  private void dropOldestAnswers() {
    while (answerBytes > limits.maxAnswersBytes() && !answeredKeys.isEmpty()) {
      Run run = runs.get(answeredKeys.removeFirst());
      if (run != null) {
        dropAnswer(run);
      }
    }
  }

  private void dropAnswer(Run run) {
    answerBytes -= answerSize(run);
    run.answer = Optional.empty();
  }

  private static long answerSize(Run run) {
    return run.answer.map(a -> a.body().length).orElse(0);
  }

  @Override
  public byte[] save() {
    ArrayNode all = MAPPER.createArrayNode();
    for (Run run : runs.values()) {
      all.add(RunRecord.Codec.write(run.claim));
      RunId key = run.claim.key();
      RunToken token = run.claim.token();
      switch (run.state) {
        case CLAIMED -> {}
        case DONE -> all.add(RunRecord.Codec.write(new RunRecord.Done(key, token, run.answer)));
        case LOST -> all.add(RunRecord.Codec.write(new RunRecord.Lost(key, token)));
        default -> throw new IllegalStateException(run.state.toString());
      }
    }
    try {
      return MAPPER.writeValueAsBytes(all);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void restore(LogSnapshot s) {
    runs.clear();
    answeredKeys.clear();
    answerBytes = 0;
    try {
      MAPPER.readTree(s.content()).forEach(r -> apply(RunRecord.Codec.read(r)));
    } catch (IOException e) {
      throw new UncheckedIOException("cannot parse the snapshot of the run records", e);
    }
  }

  private enum State {
    CLAIMED,
    DONE,
    LOST
  }

  private static final class Run {
    final RunRecord.Claim claim;
    State state = State.CLAIMED;
    Optional<RecordedAnswer> answer = Optional.empty();

    Run(RunRecord.Claim claim) {
      this.claim = claim;
    }
  }
}
