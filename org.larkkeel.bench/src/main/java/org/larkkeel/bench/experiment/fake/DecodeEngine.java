/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fake;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.larkkeel.bench.experiment.fake.Timeline.Timer;
import org.larkkeel.bench.experiment.scenario.Members.Member;
import org.larkkeel.event.Event;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;

/**
 * A decode engine with a number of slots. A step serves the whole batch and takes longer with more
 * requests.
 *
 * <p>Invariant: each import and each decode occupies exactly one slot. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
final class DecodeEngine extends Upstream {
  private static final double TOLERANCE_TOKENS = 1e-6;

  private final Map<WorkId, Slot> occupiedSlots = new LinkedHashMap<>();
  final Link link;
  private int batchSize;
  private long progressAt;
  private Timer timer;

  private enum Stage {
    IMPORTING,
    READY,
    DECODING
  }

  private static final class Slot {
    private final WorkId prefill;
    private final PrefillEngine source;
    private Stage stage = Stage.IMPORTING;
    private Work work;
    private Link.Transfer transfer;
    private double generatedTokens;
    private boolean hasFirstToken;

    Slot(Work work, WorkId prefill, PrefillEngine source) {
      this.work = work;
      this.prefill = prefill;
      this.source = source;
    }

    double nextMilestone() {
      return hasFirstToken ? work.arrival().output() : work.resumeFrom() + 1.0;
    }

    int tokens() {
      return stage == Stage.DECODING
          ? (int) (generatedTokens + TOLERANCE_TOKENS)
          : work.resumeFrom();
    }
  }

  DecodeEngine(Timeline time, Ledger ledger, Member member) {
    super(time, ledger, member);
    this.link = new Link(time, member.group().linkBytesPerSecond());
  }

  /** Occupies a slot and fetches the KV cache of a prefill. */
  void startImport(Work work, WorkId prefill, PrefillEngine source) {
    if (!isAlive()) {
      work.reply().fail(FailureCause.CONNECT_FAILED, Exposure.NOT_SENT, work.resumeFrom());
      return;
    }
    if (occupiedSlots.size() >= member.group().slots()) {
      ledger.countNoSlot();
      work.reply().fail(FailureCause.NO_SLOT, Exposure.REFUSED, work.resumeFrom());
      return;
    }
    Runnable onBroken = () -> onImportBroken(work.id());
    double bytes = source.isAlive() ? source.beginImport(prefill, onBroken) : -1;
    if (bytes < 0) {
      ledger.countEviction();
      work.reply().fail(FailureCause.KV_EVICTED, Exposure.REFUSED, work.resumeFrom());
      return;
    }
    Slot slot = new Slot(work, prefill, source);
    occupiedSlots.put(work.id(), slot);
    ledger.changeActiveEngines(work.arrival(), 1);
    slot.transfer = new Link.Transfer(source.link, link, bytes, () -> onImported(slot));
  }

  /** Generates the tokens of an imported request. */
  void startDecode(Work work) {
    if (!isAlive()) {
      work.reply().fail(FailureCause.CONNECT_FAILED, Exposure.NOT_SENT, work.resumeFrom());
      return;
    }
    Slot slot = occupiedSlots.get(work.id());
    if (slot == null || slot.stage != Stage.READY) {
      work.reply().fail(FailureCause.KV_EVICTED, Exposure.REFUSED, work.resumeFrom());
      return;
    }
    ledger.recordRun(work.arrival());
    advance();
    slot.work = work;
    slot.stage = Stage.DECODING;
    slot.generatedTokens = work.resumeFrom();
    batchSize++;
    scheduleMilestone();
  }

  /** Returns the position in the answer, in tokens, that an attempt has reached. */
  int tokens(WorkId id) {
    advance();
    Slot slot = occupiedSlots.get(id);
    return slot == null ? 0 : slot.tokens();
  }

  @Override
  void cancel(WorkId id) {
    advance();
    Slot slot = occupiedSlots.get(id);
    if (slot != null) {
      release(slot, false);
      scheduleMilestone();
    }
  }

  @Override
  int running() {
    return occupiedSlots.size();
  }

  @Override
  int waiting() {
    return 0;
  }

  @Override
  int heldAttempts() {
    return occupiedSlots.size();
  }

  @Override
  int heldByNode(int node) {
    return (int) occupiedSlots.keySet().stream().filter(id -> id.node() == node).count();
  }

  @Override
  double busyShare() {
    return frozen() || !isAlive() ? 0 : (double) occupiedSlots.size() / member.group().slots();
  }

  @Override
  void dropAll() {
    advance();
    for (Slot slot : List.copyOf(occupiedSlots.values())) {
      int tokens = slot.tokens();
      release(slot, false);
      slot.work.reply().fail(FailureCause.CONNECTION_LOST, Exposure.MAY_HAVE_RUN, tokens);
    }
    Timeline.cancel(timer);
  }

  @Override
  void pause() {
    advance(false);
    Timeline.cancel(timer);
  }

  @Override
  void resume() {
    progressAt = time.now();
    scheduleMilestone();
  }

  private void onImported(Slot slot) {
    if (occupiedSlots.get(slot.work.id()) != slot) {
      return;
    }
    slot.transfer = null;
    slot.stage = Stage.READY;
    slot.source.endImport(slot.prefill, true);
    slot.work.reply().end(at -> new Event.TransferDone(at, slot.work.id().attempt()));
  }

  private void onImportBroken(WorkId id) {
    Slot slot = occupiedSlots.get(id);
    release(slot, false);
    ledger.countEviction();
    slot.work.reply().fail(FailureCause.KV_EVICTED, Exposure.REFUSED, slot.work.resumeFrom());
  }

  private void advance() {
    advance(frozen());
  }

  private void advance(boolean paused) {
    long now = time.now();
    if (batchSize > 0 && !paused) {
      double steps = (now - progressAt) / member.group().stepNanos(batchSize);
      for (Slot slot : occupiedSlots.values()) {
        if (slot.stage == Stage.DECODING) {
          slot.generatedTokens =
              Math.min(slot.generatedTokens + steps, slot.work.arrival().output());
        }
      }
    }
    progressAt = now;
  }

  private void scheduleMilestone() {
    Timeline.cancel(timer);
    if (batchSize == 0 || frozen() || !isAlive()) {
      return;
    }
    double minSteps = Double.MAX_VALUE;
    for (Slot slot : occupiedSlots.values()) {
      if (slot.stage == Stage.DECODING) {
        minSteps = Math.min(minSteps, slot.nextMilestone() - slot.generatedTokens);
      }
    }
    long wait = (long) Math.ceil(Math.max(0, minSteps) * member.group().stepNanos(batchSize));
    timer = time.after(wait, this::onTimer);
  }

  private void onTimer() {
    advance();
    for (Slot slot : List.copyOf(occupiedSlots.values())) {
      if (slot.stage == Stage.DECODING
          && slot.generatedTokens + TOLERANCE_TOKENS >= slot.nextMilestone()) {
        onMilestone(slot);
      }
    }
    scheduleMilestone();
  }

  private void onMilestone(Slot slot) {
    Work work = slot.work;
    if (!slot.hasFirstToken) {
      slot.hasFirstToken = true;
      ledger.recordPrefillUse(slot.prefill);
      work.reply().progress(at -> new Event.FirstToken(at, work.id().attempt()));
    }
    if (slot.generatedTokens + TOLERANCE_TOKENS >= work.arrival().output()) {
      release(slot, true);
      int tokens = work.arrival().output();
      work.reply().end(at -> new Event.DecodeDone(at, work.id().attempt(), tokens));
    }
  }

  private void release(Slot slot, boolean complete) {
    occupiedSlots.remove(slot.work.id());
    ledger.changeActiveEngines(slot.work.arrival(), -1);
    if (slot.stage == Stage.DECODING) {
      batchSize--;
    }
    if (slot.transfer != null) {
      slot.transfer.stop();
      slot.source.endImport(slot.prefill, complete);
    }
  }
}
