/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fake;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import org.larkkeel.bench.experiment.scenario.Members.Member;
import org.larkkeel.event.LoadReport;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.UpstreamName;

/**
 * What engines and services share: they die, come back, freeze, and report their load.
 *
 * <p>Invariant: a dead upstream holds nothing. Not safe for use by several threads.
 *
 * @since 0.1
 */
abstract sealed class Upstream permits PrefillEngine, DecodeEngine, Service {
  final Timeline time;
  final Ledger ledger;
  final Member member;
  final UpstreamName name;
  private long incarnation = 1;
  private boolean alive = true;
  private int frozen;
  private final List<Runnable> unread = new ArrayList<>();

  Upstream(Timeline time, Ledger ledger, Member member) {
    this.time = time;
    this.ledger = ledger;
    this.member = member;
    this.name = new UpstreamName(member.name());
  }

  final boolean alive() {
    return alive;
  }

  final boolean frozen() {
    return frozen > 0;
  }

  final Incarnation incarnation() {
    return new Incarnation(incarnation);
  }

  final void kill() {
    if (alive) {
      alive = false;
      unread.clear();
      dropAll();
    }
  }

  final void restart() {
    if (!alive) {
      alive = true;
      incarnation++;
    }
  }

  final void freeze() {
    if (frozen++ == 0) {
      pause();
    }
  }

  final void thaw() {
    if (--frozen == 0) {
      resume();
      List<Runnable> backlog = List.copyOf(unread);
      unread.clear();
      backlog.forEach(Runnable::run);
    }
  }

  /** Takes what a node sent; a frozen process reads it when it goes on. */
  final void receive(Runnable message) {
    if (frozen() && alive) {
      unread.add(message);
    } else {
      message.run();
    }
  }

  final LoadReport report() {
    return new LoadReport(
        incarnation(),
        time.now(),
        member.group().slots(),
        running(),
        waiting(),
        kvPieces(),
        Math.max(0, kvPieces() - held()),
        ImmutableSet.of());
  }

  /** Frees whatever is held for an attempt; of no effect if nothing is. */
  abstract void cancel(WorkId id);

  abstract int running();

  abstract int waiting();

  /** Attempts that hold a slot or KV memory. */
  abstract int held();

  /** Slots that the attempts of a node hold; 0 where attempts queue instead. */
  int heldBy(int node) {
    return 0;
  }

  /** The share of the upstream that works, 0 to 1. */
  abstract double busyShare();

  /** The process died: forget everything, and break every connection. */
  abstract void dropAll();

  abstract void pause();

  abstract void resume();

  private int kvPieces() {
    return Math.max(1, member.group().slots() * 64);
  }
}
