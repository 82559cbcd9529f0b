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
 * An engine: works in steps, each of which generates one token for every request that generates and
 * reads one piece of the first prompt in line.
 *
 * <p>Invariant: the blocks of its requests and of the prompts that it keeps for others are at most
 * its memory. A request that grows beyond it is dropped, the youngest first, and begins anew. While
 * it is dark it says nothing, and at the end of that it has lost all that it held. Not safe for use
 * by several threads.
 */
final class SimEngine {
  private static final double MILLI = 1e6;

  private final Timeline time;
  private final TokenLedger ledger;
  private final FleetScenario.Engines spec;
  private final Stage stage;
  private final double tokensPerMilli;
  private final long chunk;
  private final long memoryBlocks;
  private final Deque<Job> waiting = new ArrayDeque<>();
  private final List<Job> working = new ArrayList<>();
  private final Map<String, Job> kept = new HashMap<>();
  private long freeBlocks;
  private long linkFreeAt;
  private long handles;
  private final List<Job> unseen = new ArrayList<>();
  private boolean stepping;
  private boolean dark;
  private boolean down;
  private Runnable crashed = () -> {};
  private int preemptions;
  private int declined;
  private long leastFreeBlocks;

  SimEngine(Timeline time, TokenLedger ledger, FleetScenario.Engines spec, Stage stage) {
    this.time = time;
    this.ledger = ledger;
    this.spec = spec;
    this.stage = stage;
    boolean reads = stage == Stage.PREFILL;
    this.tokensPerMilli = spec.promptTokensPerMilli() * (reads ? 1 : 0.5);
    this.chunk = reads ? spec.chunkTokens() : spec.chunkTokens() / 4;
    this.memoryBlocks = spec.memoryTokens() / spec.blockTokens();
    this.freeBlocks = memoryBlocks;
    this.leastFreeBlocks = memoryBlocks;
  }

  int preemptions() {
    return preemptions;
  }

  int declined() {
    return declined;
  }

  /** The greatest share of its memory that was ever taken. */
  double fullest() {
    return 1 - (double) leastFreeBlocks / memoryBlocks;
  }

  /** Whether its process has ended and not started again, so that connections are refused. */
  boolean isDown() {
    return down;
  }

  /** A request arrives. */
  void take(Job job) {
    if (down) {
      job.settle(ReadCause.CANCELLED);
      refuse(job, RefusalCause.NOT_SENT);
      return;
    }
    if (dark) {
      unseen.add(job);
      return;
    }
    boolean reads = job.purpose instanceof Purpose.ReadPrompt;
    if (reads != (stage == Stage.PREFILL)) {
      refuse(job, RefusalCause.WRONG_UPSTREAM);
    } else if (waiting.isEmpty() && fits(job)) {
      begin(job);
    } else if (waiting.size() < spec.queue()) {
      waiting.add(job);
    } else {
      decline(job);
    }
    step();
  }

  /** The node gives a request up. */
  void cancel(Job job) {
    if (unseen.remove(job)) {
      return;
    }
    if (waiting.remove(job)) {
      job.settle(ReadCause.CANCELLED);
    } else if (working.remove(job)) {
      release(job);
      job.settle(ReadCause.CANCELLED);
    }
    admit();
  }

  /** Takes requests and says nothing from now on. */
  void darken() {
    dark = true;
  }

  /** Sets what follows when its process ends under a request. */
  void onCrash(Runnable action) {
    crashed = action;
  }

  private void crash() {
    down = true;
    restart();
    crashed.run();
  }

  /** Its process starts again after it has ended. */
  void start() {
    down = false;
  }

  /** Resets all connections, with nothing left of what it held. */
  void restart() {
    List<Job> lost = new ArrayList<>(unseen);
    lost.addAll(waiting);
    lost.addAll(working);
    kept.values().forEach(j -> j.settle(ReadCause.ENGINE_LOST));
    unseen.clear();
    waiting.clear();
    working.clear();
    kept.clear();
    freeBlocks = memoryBlocks;
    dark = false;
    for (Job job : lost) {
      job.blocks = 0;
      job.settle(ReadCause.ENGINE_LOST);
      job.sender.reply(
          job, at -> new RelayEvent.Lost(at, job.attempt, FailureCause.CONNECTION_LOST));
    }
  }

  /** Frees a prompt that is kept for others. */
  void free(String handle) {
    drop(handle, ReadCause.HANDLE_FREED);
  }

  private void drop(String handle, ReadCause cause) {
    Job job = kept.remove(handle);
    if (job != null) {
      release(job);
      job.settle(cause);
      admit();
    }
  }

  private boolean fits(Job job) {
    return working.size() < spec.slots() && blocks(job.prompt + job.generated + 1) <= freeBlocks;
  }

  private long blocks(long tokens) {
    return (tokens + spec.blockTokens() - 1) / spec.blockTokens();
  }

  private void grow(Job job, long tokens) {
    long more = blocks(tokens) - job.blocks;
    freeBlocks -= more;
    job.blocks += more;
    leastFreeBlocks = Math.min(leastFreeBlocks, freeBlocks);
  }

  private void release(Job job) {
    freeBlocks += job.blocks;
    job.blocks = 0;
  }

  private void begin(Job job) {
    if (job.purpose instanceof Purpose.TakeOver t && job.generated == 0 && job.readings.isEmpty()) {
      SimEngine source = job.sender.engine(t.source().name());
      Job prompt = source.kept.remove(t.handle());
      if (prompt == null) {
        decline(job);
        return;
      }
      job.readings.addAll(prompt.readings);
      fetch(job, prompt, source);
    } else {
      job.toRead = job.prompt + job.generated;
      job.readings.add(ledger.begin());
    }
    grow(job, job.prompt + job.generated + 1);
    working.add(job);
  }

  /** The source keeps its copy until the transfer is complete; transfers wait for each other. */
  private void fetch(Job job, Job prompt, SimEngine source) {
    job.fetching = true;
    long nanos = (long) (spec.transferMillisPerThousand() * MILLI * job.prompt / 1_000);
    source.linkFreeAt = Math.max(time.now(), source.linkFreeAt) + nanos;
    time.at(
        source.linkFreeAt,
        () -> {
          if (prompt.blocks > 0) {
            source.release(prompt);
            source.admit();
          }
          job.fetching = false;
          step();
        });
  }

  private void decline(Job job) {
    declined++;
    job.settle(ReadCause.CANCELLED);
    refuse(job, RefusalCause.DECLINED);
  }

  private void refuse(Job job, RefusalCause cause) {
    job.sender.reply(job, at -> new RelayEvent.Refused(at, job.attempt, cause));
  }

  /** Begins what waits, in its order, as far as there is room. */
  private void admit() {
    while (!dark && !waiting.isEmpty() && fits(waiting.peekFirst())) {
      begin(waiting.pollFirst());
    }
    step();
  }

  private void step() {
    if (stepping || dark || down) {
      return;
    }
    List<Job> decoding = working.stream().filter(Job::isDecoding).toList();
    Job reading = working.stream().filter(j -> j.toRead > 0).findFirst().orElse(null);
    if (decoding.isEmpty() && reading == null) {
      return;
    }
    long piece = reading == null ? 0 : Math.min(chunk, reading.toRead);
    double millis = piece / tokensPerMilli;
    if (!decoding.isEmpty()) {
      millis += spec.stepMillis() + spec.stepMillisPerRequest() * decoding.size();
    }
    stepping = true;
    time.after((long) (millis * MILLI), () -> stepped(decoding, reading, piece));
  }

  private void stepped(List<Job> decoding, Job reading, long piece) {
    stepping = false;
    if (dark || down) {
      return;
    }
    if (reading != null && working.contains(reading)) {
      read(reading, piece);
    }
    for (Job job : decoding) {
      if (working.contains(job) && makeRoom(job)) {
        generate(job);
      }
    }
    admit();
  }

  private void read(Job job, long piece) {
    job.readings.getLast().add(piece);
    job.toRead -= piece;
    if (job.toRead == 0 && stage == Stage.PREFILL) {
      keep(job);
    }
  }

  private void keep(Job job) {
    String handle = "h" + ++handles;
    working.remove(job);
    kept.put(handle, job);
    time.after((long) (spec.handleMillis() * MILLI), () -> drop(handle, ReadCause.HANDLE_LAPSED));
    job.sender.promptRead(job, handle);
  }

  /** Whether there is memory for one more token of a request, if others have to go for it. */
  private boolean makeRoom(Job job) {
    long more = blocks(job.prompt + job.generated + 1) - job.blocks;
    while (more > freeBlocks) {
      Job youngest = working.getLast();
      preempt(youngest);
      if (youngest == job) {
        return false;
      }
    }
    return true;
  }

  private void preempt(Job job) {
    preemptions++;
    working.remove(job);
    release(job);
    job.settle(ReadCause.PREEMPTED);
    waiting.addFirst(job);
  }

  private void generate(Job job) {
    if (job.crashes) {
      crash();
      return;
    }
    job.generated++;
    grow(job, job.prompt + job.generated);
    boolean whole = job.generated >= job.output;
    boolean event = job.generated % spec.tokensPerEvent() == 0 || whole;
    if (event) {
      job.sender.event(job, job.generated <= spec.tokensPerEvent());
    }
    if (whole) {
      working.remove(job);
      release(job);
      job.sender.complete(job, at -> new RelayEvent.Answered(at, job.attempt, AnswerGrade.GOOD));
    }
  }
}
