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
 * Common base of engines and services, which can be killed, restarted and frozen, and which report
 * their load.
 *
 * <p>Invariant: a killed upstream holds no attempts. Not safe for use by several threads.
 *
 * @since 0.1
 */
abstract sealed class Upstream permits PrefillEngine, DecodeEngine, Service {
  final Timeline time;
  final Ledger ledger;
  final Member member;
  final UpstreamName name;
  private long incarnation = 1;
  private boolean isAlive = true;
  private int frozen;
  private final List<Runnable> unreadMessages = new ArrayList<>();

  Upstream(Timeline time, Ledger ledger, Member member) {
    this.time = time;
    this.ledger = ledger;
    this.member = member;
    this.name = new UpstreamName(member.name());
  }

  final boolean isAlive() {
    return isAlive;
  }

  final boolean frozen() {
    return frozen > 0;
  }

  final Incarnation incarnation() {
    return new Incarnation(incarnation);
  }

  final void kill() {
    if (isAlive) {
      isAlive = false;
      unreadMessages.clear();
      dropAll();
    }
  }

  final void restart() {
    if (!isAlive) {
      isAlive = true;
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
      List<Runnable> backlog = List.copyOf(unreadMessages);
      unreadMessages.clear();
      backlog.forEach(Runnable::run);
    }
  }

  /** Handles a message of a node; a frozen process handles it when it continues. */
  final void receive(Runnable message) {
    if (frozen() && isAlive) {
      unreadMessages.add(message);
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
        Math.max(0, kvPieces() - heldAttempts()),
        ImmutableSet.of());
  }

  /** Releases all resources that are held for an attempt, if any. */
  abstract void cancel(WorkId id);

  abstract int running();

  abstract int waiting();

  /** Returns the number of attempts that are queued, running, or hold a slot or KV memory. */
  abstract int heldAttempts();

  /**
   * Returns the number of slots held by attempts of a node; 0 for upstreams that queue attempts.
   */
  int heldByNode(int node) {
    return 0;
  }

  /** Returns the utilized share of the upstream's capacity, from 0 to 1. */
  abstract double busyShare();

  /** Handles a crash of the process: drops all attempts and breaks all connections. */
  abstract void dropAll();

  abstract void pause();

  abstract void resume();

  private int kvPieces() {
    return Math.max(1, member.group().slots() * 64);
  }
}
