/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.util.List;
import java.util.SplittableRandom;
import org.larkkeel.http.Json;

/**
 * Faults that come again and again with some seeds. Each is drawn from a source of its own, so that
 * the other faults of a seed do not depend on it.
 */
final class SoakSeries {
  /** With a seed that this divides, the connections of all nodes to the store fall silent. */
  static final int SILENT_SEEDS = 5;

  /** With a seed that this divides, requests end runners, and runners want rest. */
  private static final int CRASH_SEEDS = 7;

  /** With a seed that this divides, runners name limits of their requests. */
  private static final int LIMIT_SEEDS = 11;

  /** With a seed that this divides, the store comes back from copies. */
  private static final int RESTORE_SEEDS = 13;

  /** What others write between the copy and the moment at which the store is away. */
  private static final int OTHERS_WRITES = 100;

  private final Soak soak;
  private final long seed;
  private final StoreStandin store;
  private final List<SoakProxy> storeProxies;
  private final List<SoakRunner> runners;

  SoakSeries(
      Soak soak,
      long seed,
      StoreStandin store,
      List<SoakProxy> storeProxies,
      List<SoakRunner> runners) {
    this.soak = soak;
    this.seed = seed;
    this.store = store;
    this.storeProxies = storeProxies;
    this.runners = runners;
  }

  void begin() {
    if (seed % CRASH_SEEDS == 0) {
      Soak.crashes().begin();
      rests(new SplittableRandom(seed + 2));
    }
    if (seed % SILENT_SEEDS == 0) {
      silences(new SplittableRandom(~seed));
    }
    if (seed % LIMIT_SEEDS == 0) {
      limits(new SplittableRandom(seed + 3));
    }
    if (seed % RESTORE_SEEDS == 0) {
      copies(new SplittableRandom(seed + 4));
    }
  }

  /** All connections to the store fall silent, and a configuration follows. */
  private void silences(SplittableRandom random) {
    if (!soak.isLoaded()) {
      return;
    }
    soak.harm(-1, "store-connections-silent", 0);
    soak.drawn(Soak.Drawn.SILENCE);
    storeProxies.forEach(SoakProxy::strand);
    soak.after(random.nextInt(1_500), soak::configure);
    soak.after(random.nextInt(4_000, 7_000), () -> silences(random));
  }

  /** Runners turn all away and want rest, one after the other. */
  private void rests(SplittableRandom random) {
    if (!soak.isLoaded()) {
      return;
    }
    SoakRunner runner = runners.get(random.nextInt(runners.size()));
    soak.drawn(Soak.Drawn.REST);
    soak.lasting(
        -1,
        "runner-wants-rest",
        random.nextInt(300, 2_000),
        on -> runner.fault(on > 0 ? SoakRunner.Fault.WANTS_REST : SoakRunner.Fault.NONE));
    soak.after(random.nextInt(2_000, 5_000), () -> rests(random));
  }

  /** Runners name limits, one after the other, which change and end. */
  private void limits(SplittableRandom random) {
    if (!soak.isLoaded()) {
      return;
    }
    SoakRunner runner = runners.get(random.nextInt(runners.size()));
    soak.drawn(Soak.Drawn.LIMIT);
    runner.limit(0.5 + random.nextInt(25) / 10.0);
    soak.after(random.nextInt(7_000, 12_000), runner::liftLimit);
    soak.after(random.nextInt(2_000, 5_000), () -> limits(random));
  }

  /** The store is away for a moment and comes back from a copy; a configuration follows. */
  private void copies(SplittableRandom random) {
    if (!soak.isLoaded()) {
      return;
    }
    StoreStandin.Copy copy = store.copy();
    // Others use the store as well: versions go back by more than what is written again.
    for (int i = 0; i < OTHERS_WRITES; i++) {
      store.put("others", "note", Json.object().put("is", i));
    }
    long millis = random.nextInt(300, 1_500);
    soak.after(random.nextInt(500, 2_500), () -> restore(copy, millis, random));
  }

  private void restore(StoreStandin.Copy copy, long millis, SplittableRandom random) {
    soak.drawn(Soak.Drawn.RESTORE);
    soak.harm(-1, "store-restored", millis);
    store.refuse(503);
    soak.after(
        millis,
        () -> {
          store.restore(copy);
          soak.writeAgain();
          store.refuse(0);
        });
    soak.after(millis + random.nextInt(3_200, 4_500), soak::configure);
    soak.after(millis + random.nextInt(6_000, 9_000), () -> copies(random));
  }
}
