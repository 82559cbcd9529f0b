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
 * A decode engine: a number of slots, one step for the whole batch, the longer the more requests it
 * has.
 *
 * <p>Invariant: an import or a decode holds exactly one slot. Not safe for use by several threads.
 *
 * @since 0.1
 */
final class DecodeEngine extends Upstream {
  private static final double ROUNDING = 1e-6;

  private final Map<WorkId, Seat> seats = new LinkedHashMap<>();
  final Link link;
  private int batch;
  private long since;
  private Timer timer;

  private enum Stage {
    IMPORTING,
    READY,
    DECODING
  }

  private static final class Seat {
    private final WorkId prefill;
    private final PrefillEngine source;
    private Stage stage = Stage.IMPORTING;
    private Work work;
    private Link.Transfer transfer;
    private double progress;
    private boolean first;

    Seat(Work work, WorkId prefill, PrefillEngine source) {
      this.work = work;
      this.prefill = prefill;
      this.source = source;
    }

    double next() {
      return first ? work.arrival().output() : work.resumeFrom() + 1.0;
    }

    int tokens() {
      return stage == Stage.DECODING ? (int) (progress + ROUNDING) : work.resumeFrom();
    }
  }

  DecodeEngine(Timeline time, Ledger ledger, Member member) {
    super(time, ledger, member);
    this.link = new Link(time, member.group().linkBytesPerSecond());
  }

  /** Takes a slot and pulls the KV cache of a prefill. */
  void transfer(Work work, WorkId prefill, PrefillEngine source) {
    if (!alive()) {
      work.reply().fail(FailureCause.CONNECT_FAILED, Exposure.NOT_SENT, work.resumeFrom());
      return;
    }
    if (seats.size() >= member.group().slots()) {
      ledger.noSlot();
      work.reply().fail(FailureCause.NO_SLOT, Exposure.REFUSED, work.resumeFrom());
      return;
    }
    Runnable broken = () -> interrupted(work.id());
    double bytes = source.alive() ? source.beginImport(prefill, broken) : -1;
    if (bytes < 0) {
      ledger.evicted();
      work.reply().fail(FailureCause.KV_EVICTED, Exposure.REFUSED, work.resumeFrom());
      return;
    }
    Seat seat = new Seat(work, prefill, source);
    seats.put(work.id(), seat);
    ledger.engineActive(work.arrival(), 1);
    seat.transfer = new Link.Transfer(source.link, link, bytes, () -> imported(seat));
  }

  /** Generates the tokens of an imported request. */
  void decode(Work work) {
    if (!alive()) {
      work.reply().fail(FailureCause.CONNECT_FAILED, Exposure.NOT_SENT, work.resumeFrom());
      return;
    }
    Seat seat = seats.get(work.id());
    if (seat == null || seat.stage != Stage.READY) {
      work.reply().fail(FailureCause.KV_EVICTED, Exposure.REFUSED, work.resumeFrom());
      return;
    }
    ledger.ran(work.arrival());
    advance();
    seat.work = work;
    seat.stage = Stage.DECODING;
    seat.progress = work.resumeFrom();
    batch++;
    schedule();
  }

  /** Tokens of the whole answer that an attempt has passed on. */
  int tokens(WorkId id) {
    advance();
    Seat seat = seats.get(id);
    return seat == null ? 0 : seat.tokens();
  }

  @Override
  void cancel(WorkId id) {
    advance();
    Seat seat = seats.get(id);
    if (seat != null) {
      free(seat, false);
      schedule();
    }
  }

  @Override
  int running() {
    return seats.size();
  }

  @Override
  int waiting() {
    return 0;
  }

  @Override
  int held() {
    return seats.size();
  }

  @Override
  int heldBy(int node) {
    return (int) seats.keySet().stream().filter(id -> id.node() == node).count();
  }

  @Override
  double busyShare() {
    return frozen() || !alive() ? 0 : (double) seats.size() / member.group().slots();
  }

  @Override
  void dropAll() {
    advance();
    for (Seat seat : List.copyOf(seats.values())) {
      int tokens = seat.tokens();
      free(seat, false);
      seat.work.reply().fail(FailureCause.CONNECTION_LOST, Exposure.MAY_HAVE_RUN, tokens);
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
    since = time.now();
    schedule();
  }

  private void imported(Seat seat) {
    if (seats.get(seat.work.id()) != seat) {
      return;
    }
    seat.transfer = null;
    seat.stage = Stage.READY;
    seat.source.endImport(seat.prefill, true);
    seat.work.reply().end(at -> new Event.TransferDone(at, seat.work.id().attempt()));
  }

  private void interrupted(WorkId id) {
    Seat seat = seats.get(id);
    free(seat, false);
    ledger.evicted();
    seat.work.reply().fail(FailureCause.KV_EVICTED, Exposure.REFUSED, seat.work.resumeFrom());
  }

  private void advance() {
    advance(frozen());
  }

  private void advance(boolean still) {
    long now = time.now();
    if (batch > 0 && !still) {
      double steps = (now - since) / member.group().step(batch);
      for (Seat seat : seats.values()) {
        if (seat.stage == Stage.DECODING) {
          seat.progress = Math.min(seat.progress + steps, seat.work.arrival().output());
        }
      }
    }
    since = now;
  }

  private void schedule() {
    Timeline.cancel(timer);
    if (batch == 0 || frozen() || !alive()) {
      return;
    }
    double least = Double.MAX_VALUE;
    for (Seat seat : seats.values()) {
      if (seat.stage == Stage.DECODING) {
        least = Math.min(least, seat.next() - seat.progress);
      }
    }
    long wait = (long) Math.ceil(Math.max(0, least) * member.group().step(batch));
    timer = time.after(wait, this::milestone);
  }

  private void milestone() {
    advance();
    for (Seat seat : List.copyOf(seats.values())) {
      if (seat.stage == Stage.DECODING && seat.progress + ROUNDING >= seat.next()) {
        reached(seat);
      }
    }
    schedule();
  }

  private void reached(Seat seat) {
    Work work = seat.work;
    if (!seat.first) {
      seat.first = true;
      ledger.prefillUsed(seat.prefill);
      work.reply().progress(at -> new Event.FirstToken(at, work.id().attempt()));
    }
    if (seat.progress + ROUNDING >= work.arrival().output()) {
      free(seat, true);
      int tokens = work.arrival().output();
      work.reply().end(at -> new Event.DecodeDone(at, work.id().attempt(), tokens));
    }
  }

  private void free(Seat seat, boolean complete) {
    seats.remove(seat.work.id());
    ledger.engineActive(seat.work.arrival(), -1);
    if (seat.stage == Stage.DECODING) {
      batch--;
    }
    if (seat.transfer != null) {
      seat.transfer.stop();
      seat.source.endImport(seat.prefill, complete);
    }
  }
}
