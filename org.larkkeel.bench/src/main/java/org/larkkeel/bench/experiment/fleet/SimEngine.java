/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.larkkeel.bench.experiment.fake.Timeline;
import org.larkkeel.event.FailureCause;
import org.larkkeel.relay.AnswerGrade;
import org.larkkeel.relay.RefusalCause;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.Stage;

/**
 * A model of an engine that works in steps. Each step generates one token for every decoding
 * request and prefills one chunk for the first running request whose prompt is incomplete.
 *
 * <p>Invariant: the blocks of running requests and of prompts held for other engines do not exceed
 * the memory. When memory runs out, the youngest request is preempted and later prefilled again.
 * While the engine is unresponsive it sends nothing, and it loses its memory at the end of that
 * period. Not safe for use by several threads.
 */
final class SimEngine {
  private static final double NANOS_PER_MILLI = 1e6;

  private final Timeline time;
  private final TokenLedger ledger;
  private final FleetScenario.Engines spec;
  private final Stage stage;
  private final double prefillTokensPerMilli;
  private final long chunkTokens;
  private final long memoryBlocks;
  private final Deque<Job> waiting = new ArrayDeque<>();
  private final List<Job> running = new ArrayList<>();
  private final Map<String, Job> heldPrompts = new HashMap<>();
  private long freeBlocks;
  private long linkIdleAt;
  private long lastHandle;
  private final List<Job> unanswered = new ArrayList<>();
  private boolean isStepping;
  private boolean isUnresponsive;
  private boolean down;
  private Runnable crashListener = () -> {};
  private int preemptions;
  private int declined;
  private long minFreeBlocks;

  SimEngine(Timeline time, TokenLedger ledger, FleetScenario.Engines spec, Stage stage) {
    this.time = time;
    this.ledger = ledger;
    this.spec = spec;
    this.stage = stage;
    boolean isPrefill = stage == Stage.PREFILL;
    this.prefillTokensPerMilli = spec.promptTokensPerMilli() * (isPrefill ? 1 : 0.5);
    this.chunkTokens = isPrefill ? spec.chunkTokens() : spec.chunkTokens() / 4;
    this.memoryBlocks = spec.memoryTokens() / spec.blockTokens();
    this.freeBlocks = memoryBlocks;
    this.minFreeBlocks = memoryBlocks;
  }

  int preemptions() {
    return preemptions;
  }

  int declined() {
    return declined;
  }

  /** Returns the maximum share of the memory that was in use at once. */
  double maxMemoryShare() {
    return 1 - (double) minFreeBlocks / memoryBlocks;
  }

  /** Returns whether the process has ended and not restarted, so that it refuses connections. */
  boolean isDown() {
    return down;
  }

  /** Accepts, queues or refuses an arriving request. */
  void submit(Job job) {
    if (down) {
      job.settle(PrefillUse.CANCELLED);
      refuse(job, RefusalCause.CONNECT_REFUSED);
      return;
    }
    if (isUnresponsive) {
      unanswered.add(job);
      return;
    }
    boolean needsPrefill = job.purpose instanceof Purpose.ReadPrompt;
    if (needsPrefill != (stage == Stage.PREFILL)) {
      refuse(job, RefusalCause.WRONG_UPSTREAM);
    } else if (waiting.isEmpty() && fits(job)) {
      startRequest(job);
    } else if (waiting.size() < spec.queue()) {
      waiting.add(job);
    } else {
      decline(job);
    }
    step();
  }

  /** Cancels a request for its node. */
  void cancel(Job job) {
    if (unanswered.remove(job)) {
      return;
    }
    if (waiting.remove(job)) {
      job.settle(PrefillUse.CANCELLED);
    } else if (running.remove(job)) {
      release(job);
      job.settle(PrefillUse.CANCELLED);
    }
    startWaiting();
  }

  /** Makes the engine unresponsive: it accepts requests but sends nothing. */
  void stopResponding() {
    isUnresponsive = true;
  }

  /** Sets the action that runs when a request crashes the process. */
  void setCrashListener(Runnable action) {
    crashListener = action;
  }

  private void crash() {
    down = true;
    reset();
    crashListener.run();
  }

  /** Starts a new process after a crash. */
  void restart() {
    down = false;
  }

  /** Resets all connections and drops everything in memory. */
  void reset() {
    List<Job> lostJobs = new ArrayList<>(unanswered);
    lostJobs.addAll(waiting);
    lostJobs.addAll(running);
    heldPrompts.values().forEach(j -> j.settle(PrefillUse.ENGINE_LOST));
    unanswered.clear();
    waiting.clear();
    running.clear();
    heldPrompts.clear();
    freeBlocks = memoryBlocks;
    isUnresponsive = false;
    for (Job job : lostJobs) {
      job.allocatedBlocks = 0;
      job.settle(PrefillUse.ENGINE_LOST);
      job.sender.reply(
          job, at -> new RelayEvent.Lost(at, job.attempt, FailureCause.CONNECTION_LOST));
    }
  }

  /** Frees a prompt that is held for another engine. */
  void free(String handle) {
    dropHeldPrompt(handle, PrefillUse.HANDLE_FREED);
  }

  private void dropHeldPrompt(String handle, PrefillUse use) {
    Job job = heldPrompts.remove(handle);
    if (job != null) {
      release(job);
      job.settle(use);
      startWaiting();
    }
  }

  private boolean fits(Job job) {
    return running.size() < spec.slots()
        && blockCount(job.prompt + job.generatedTokens + 1) <= freeBlocks;
  }

  private long blockCount(long tokens) {
    return (tokens + spec.blockTokens() - 1) / spec.blockTokens();
  }

  private void allocate(Job job, long tokens) {
    long added = blockCount(tokens) - job.allocatedBlocks;
    freeBlocks -= added;
    job.allocatedBlocks += added;
    minFreeBlocks = Math.min(minFreeBlocks, freeBlocks);
  }

  private void release(Job job) {
    freeBlocks += job.allocatedBlocks;
    job.allocatedBlocks = 0;
  }

  private void startRequest(Job job) {
    if (job.purpose instanceof Purpose.TakeOver t
        && job.generatedTokens == 0
        && job.prefills.isEmpty()) {
      SimEngine source = job.sender.engine(t.source().name());
      Job prompt = source.heldPrompts.remove(t.handle());
      if (prompt == null) {
        decline(job);
        return;
      }
      job.prefills.addAll(prompt.prefills);
      transferPrompt(job, prompt, source);
    } else {
      job.tokensToPrefill = job.prompt + job.generatedTokens;
      job.prefills.add(ledger.startPrefill());
    }
    allocate(job, job.prompt + job.generatedTokens + 1);
    running.add(job);
  }

  /** Transfers a prompt; the source holds its copy to the end and runs transfers in sequence. */
  private void transferPrompt(Job job, Job prompt, SimEngine source) {
    job.isFetching = true;
    long nanos = (long) (spec.transferMillisPerThousand() * NANOS_PER_MILLI * job.prompt / 1_000);
    source.linkIdleAt = Math.max(time.now(), source.linkIdleAt) + nanos;
    time.at(
        source.linkIdleAt,
        () -> {
          if (prompt.allocatedBlocks > 0) {
            source.release(prompt);
            source.startWaiting();
          }
          job.isFetching = false;
          step();
        });
  }

  private void decline(Job job) {
    declined++;
    job.settle(PrefillUse.CANCELLED);
    refuse(job, RefusalCause.DECLINED);
  }

  private void refuse(Job job, RefusalCause cause) {
    job.sender.reply(job, at -> new RelayEvent.Refused(at, job.attempt, cause));
  }

  /** Starts queued requests in order while there is free capacity. */
  private void startWaiting() {
    while (!isUnresponsive && !waiting.isEmpty() && fits(waiting.peekFirst())) {
      startRequest(waiting.pollFirst());
    }
    step();
  }

  private void step() {
    if (isStepping || isUnresponsive || down) {
      return;
    }
    List<Job> decoding = running.stream().filter(Job::isDecoding).toList();
    Job prefilling = running.stream().filter(j -> j.tokensToPrefill > 0).findFirst().orElse(null);
    if (decoding.isEmpty() && prefilling == null) {
      return;
    }
    long chunk = prefilling == null ? 0 : Math.min(chunkTokens, prefilling.tokensToPrefill);
    double millis = chunk / prefillTokensPerMilli;
    if (!decoding.isEmpty()) {
      millis += spec.stepMillis() + spec.stepMillisPerRequest() * decoding.size();
    }
    isStepping = true;
    time.after((long) (millis * NANOS_PER_MILLI), () -> completeStep(decoding, prefilling, chunk));
  }

  private void completeStep(List<Job> decoding, Job prefilling, long chunk) {
    isStepping = false;
    if (isUnresponsive || down) {
      return;
    }
    if (prefilling != null && running.contains(prefilling)) {
      prefillChunk(prefilling, chunk);
    }
    for (Job job : decoding) {
      if (running.contains(job) && ensureFreeBlock(job)) {
        generate(job);
      }
    }
    startWaiting();
  }

  private void prefillChunk(Job job, long chunk) {
    job.prefills.getLast().add(chunk);
    job.tokensToPrefill -= chunk;
    if (job.tokensToPrefill == 0 && stage == Stage.PREFILL) {
      holdPrompt(job);
    }
  }

  private void holdPrompt(Job job) {
    String handle = "h" + ++lastHandle;
    running.remove(job);
    heldPrompts.put(handle, job);
    time.after(
        (long) (spec.handleMillis() * NANOS_PER_MILLI),
        () -> dropHeldPrompt(handle, PrefillUse.HANDLE_LAPSED));
    job.sender.promptRead(job, handle);
  }

  /** Ensures memory for one more token of a request, preempting the youngest if necessary. */
  private boolean ensureFreeBlock(Job job) {
    long blocksNeeded = blockCount(job.prompt + job.generatedTokens + 1) - job.allocatedBlocks;
    while (blocksNeeded > freeBlocks) {
      Job youngest = running.getLast();
      preempt(youngest);
      if (youngest == job) {
        return false;
      }
    }
    return true;
  }

  private void preempt(Job job) {
    preemptions++;
    running.remove(job);
    release(job);
    job.settle(PrefillUse.PREEMPTED);
    waiting.addFirst(job);
  }

  private void generate(Job job) {
    if (job.crashesEngine) {
      crash();
      return;
    }
    job.generatedTokens++;
    allocate(job, job.prompt + job.generatedTokens);
    boolean isComplete = job.generatedTokens >= job.output;
    boolean sendsEvent = job.generatedTokens % spec.tokensPerEvent() == 0 || isComplete;
    if (sendsEvent) {
      job.sender.event(job, job.generatedTokens <= spec.tokensPerEvent());
    }
    if (isComplete) {
      running.remove(job);
      release(job);
      job.sender.complete(job, at -> new RelayEvent.Answered(at, job.attempt, AnswerGrade.GOOD));
    }
  }
}
