/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * Cuts the paths of some nodes to all runners, one time after the other, and checks that these
 * nodes serve their callers all the same.
 *
 * <p>Safe for use by several threads.
 */
final class SoakPathCuts {
  /** The time after the begin of a cut from which callers must be served. */
  private static final long DETECTION_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** The time after the begin of a cut from which calls use other nodes as carriers. */
  private static final long CARRIERS_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final double MIN_RELATIVE_SHARE = 2.0 / 3;
  private static final int MAX_FAILED = 10;
  private static final int CALLS_PER_FAILED = 50;

  private final Soak soak;
  private final SoakLedger ledger;
  private final List<SoakRunner> runners;
  private final int nodes;
  private final SplittableRandom random;
  private final List<Period> periods = new ArrayList<>();
  private final Queue<Try> tries = new ConcurrentLinkedQueue<>();

  private record Period(long from, long until, List<Integer> nodes, SoakPaths.Cut kind) {}

  private record Try(int node, long startNanos, boolean served) {}

  SoakPathCuts(
      Soak soak, SoakLedger ledger, List<SoakRunner> runners, int nodes, SplittableRandom random) {
    this.soak = soak;
    this.ledger = ledger;
    this.runners = runners;
    this.nodes = nodes;
    this.random = random;
  }

  /** Cuts the paths of some nodes, and of others after a while. */
  synchronized void cutNext() {
    if (!soak.isLoaded()) {
      return;
    }
    List<Integer> chosen = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      chosen.add(i);
    }
    Collections.shuffle(chosen, random);
    List<Integer> cut = List.copyOf(chosen.subList(0, 1 + random.nextInt(nodes - 1)));
    SoakPaths.Cut kind = SoakPaths.Cut.values()[random.nextInt(3)];
    long millis = random.nextLong(4_500, 6_500);
    long now = System.nanoTime();
    periods.add(new Period(now, now + TimeUnit.MILLISECONDS.toNanos(millis), cut, kind));
    soak.count(Soak.Counted.PATH_CUT);
    for (int node : cut) {
      soak.disturb(node, "runner-paths-" + kind, millis);
      runners.forEach(r -> r.paths.cut(node, kind));
    }
    soak.after(millis, () -> heal(cut));
    soak.after(millis + random.nextLong(500, 2_500), this::cutNext);
  }

  /**
   * Returns the nodes whose paths are whole while those of all others have been cut for some time;
   * empty at other times.
   */
  synchronized List<Integer> carriers() {
    if (periods.isEmpty()) {
      return List.of();
    }
    Period last = periods.getLast();
    long now = System.nanoTime();
    return now < last.from() + CARRIERS_NANOS || now > last.until()
        ? List.of()
        : IntStream.range(0, nodes).boxed().filter(i -> !last.nodes().contains(i)).toList();
  }

  private void heal(List<Integer> cut) {
    cut.forEach(node -> runners.forEach(r -> r.paths.heal(node)));
  }

  /** Heals all paths. */
  void healAll() {
    for (int node = 0; node < nodes; node++) {
      heal(List.of(node));
    }
  }

  /** Records a request and whether it was served. */
  void tried(int node, long startNanos, boolean served) {
    tries.add(new Try(node, startNanos, served));
  }

  /** Checks the calls at nodes whose paths were cut against those at the others. */
  synchronized void check() {
    periods.forEach(this::check);
  }

  private void check(Period p) {
    List<Try> counted =
        tries.stream()
            .filter(t -> t.startNanos() >= p.from() + DETECTION_NANOS)
            .filter(t -> t.startNanos() < p.until())
            .filter(t -> !Soak.wasRestarted(t.node(), t.startNanos()))
            .toList();
    List<Try> own = counted.stream().filter(t -> p.nodes().contains(t.node())).toList();
    List<Try> others = counted.stream().filter(t -> !p.nodes().contains(t.node())).toList();
    long failed = own.stream().filter(t -> !t.served()).count();
    if (share(own) < MIN_RELATIVE_SHARE * share(others)
        && failed > MAX_FAILED + own.size() / CALLS_PER_FAILED) {
      ledger.violation(
          "paths",
          "%s at nodes %s: %d of %d calls failed, and a share of %.2f elsewhere"
              .formatted(p.kind(), p.nodes(), failed, own.size(), 1 - share(others)));
    }
  }

  private static double share(List<Try> some) {
    return some.isEmpty() ? 0 : (double) some.stream().filter(Try::served).count() / some.size();
  }
}
