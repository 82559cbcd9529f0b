/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.larkkeel.http.Json;

/**
 * Faults that recur throughout the runs of some seeds. Each series has a random source of its own,
 * so that the other faults of a seed do not depend on it.
 */
final class SoakRecurringFaults {
  /** For seeds divisible by this, the store connections of all nodes become unresponsive. */
  static final int UNRESPONSIVE_SEEDS = 5;

  /** For seeds divisible by this, requests crash runners, and runners ask for a backoff. */
  private static final int CRASH_SEEDS = 7;

  /** For seeds divisible by this, runners announce rate limits. */
  private static final int LIMIT_SEEDS = 11;

  /** For seeds divisible by this, nodes lose their paths to all runners. */
  static final int PATH_CUT_SEEDS = 9;

  /** For seeds divisible by this, the store is restored from backups. */
  private static final int RESTORE_SEEDS = 13;

  /** For seeds divisible by this, most runs fail, and nodes are killed in series. */
  private static final int STORM_SEEDS = 17;

  /** For seeds divisible by this, runners send answers twice. */
  private static final int REPEAT_SEEDS = 19;

  /** For seeds divisible by this, engines send answers without end. */
  private static final int ENDLESS_SEEDS = 23;

  private static final double FAILING_SHARE = 0.9;

  /** The time of a failing run beside spikes, so that retries come after the whole spike. */
  private static final int SPIKE_FAILING_MILLIS = 800;

  /** The writes of other clients between the backup and the outage of the store. */
  private static final int OTHER_CLIENTS_WRITES = 100;

  private final Soak soak;
  private final long seed;
  private final StoreStandin store;
  private final List<SoakProxy> storeProxies;
  private final List<SoakRunner> runners;

  SoakRecurringFaults(
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

  void start() {
    if (seed % CRASH_SEEDS == 0) {
      Soak.crashes().sendNext();
      askForBackoff(new SplittableRandom(seed + 2));
    }
    if (seed % UNRESPONSIVE_SEEDS == 0) {
      silenceStore(new SplittableRandom(~seed));
    }
    if (seed % LIMIT_SEEDS == 0) {
      announceLimit(new SplittableRandom(seed + 3));
    }
    if (seed % PATH_CUT_SEEDS == 0 || Soak.killsCarriers()) {
      soak.pathCuts().cutNext();
    }
    if (Soak.killsCarriers()) {
      soak.carrierKills().start();
    }
    if (seed % RESTORE_SEEDS == 0) {
      restoreStore(new SplittableRandom(seed + 4));
    }
    if (seed % STORM_SEEDS == 0) {
      runners.forEach(r -> r.setFailing(FAILING_SHARE, 0));
      killNodes(new SplittableRandom(seed + 7));
    }
    if (seed % REPEAT_SEEDS == 0) {
      runners.forEach(SoakRunner::repeatAnswers);
    }
    if (seed % ENDLESS_SEEDS == 0) {
      answerWithoutEnd(new SplittableRandom(seed + 8));
    }
    if (soak.hasSpikes()) {
      runners.forEach(r -> r.setFailing(FAILING_SHARE, SPIKE_FAILING_MILLIS));
      soak.spikes().start();
    }
    if (soak.hasHerdKills()) {
      soak.herdKills().start();
    }
    if (soak.isFlooded()) {
      soak.flood().start();
    }
    if (SoakBuilds.areMixed(seed)) {
      changeBuilds(new SplittableRandom(seed + 6));
    }
  }

  /** Makes all store connections unresponsive, then writes a configuration. */
  private void silenceStore(SplittableRandom random) {
    if (!soak.isLoaded()) {
      return;
    }
    soak.disturb(-1, "store-connections-silent", 0);
    soak.count(Soak.Counted.SILENCE);
    storeProxies.forEach(SoakProxy::stall);
    soak.after(random.nextInt(1_500), soak::configure);
    soak.after(random.nextInt(4_000, 7_000), () -> silenceStore(random));
  }

  /** Lets one runner after the other refuse all requests and ask for a backoff. */
  private void askForBackoff(SplittableRandom random) {
    if (!soak.isLoaded()) {
      return;
    }
    SoakRunner runner = runners.get(random.nextInt(runners.size()));
    soak.count(Soak.Counted.REST);
    soak.disturbFor(
        -1,
        "runner-wants-rest",
        random.nextInt(300, 2_000),
        on -> runner.setFault(on > 0 ? SoakRunner.Fault.WANTS_REST : SoakRunner.Fault.NONE));
    soak.after(random.nextInt(2_000, 5_000), () -> askForBackoff(random));
  }

  /** Lets one runner after the other announce a rate limit, which changes and ends. */
  private void announceLimit(SplittableRandom random) {
    if (!soak.isLoaded()) {
      return;
    }
    SoakRunner runner = runners.get(random.nextInt(runners.size()));
    soak.count(Soak.Counted.LIMIT);
    runner.setLimit(0.5 + random.nextInt(25) / 10.0);
    soak.after(random.nextInt(7_000, 12_000), runner::removeLimit);
    soak.after(random.nextInt(2_000, 5_000), () -> announceLimit(random));
  }

  /** Kills all nodes, at the same time or one after the other, again and again. */
  private void killNodes(SplittableRandom random) {
    if (!soak.isLoaded()) {
      return;
    }
    soak.count(Soak.Counted.NODES_KILLED);
    soak.killAll(random.nextBoolean() ? 0 : random.nextInt(50, 400));
    soak.after(random.nextInt(2_500, 6_000), () -> killNodes(random));
  }

  /** Lets one or all engines answer without end for a while, again and again. */
  private void answerWithoutEnd(SplittableRandom random) {
    if (!soak.isLoaded()) {
      return;
    }
    List<SoakRunner> engines = runners.stream().filter(SoakRunner::isEngine).toList();
    List<SoakRunner> some =
        random.nextInt(4) == 0 ? engines : List.of(engines.get(random.nextInt(engines.size())));
    EndlessAnswer answer = EndlessAnswer.values()[random.nextInt(EndlessAnswer.values().length)];
    soak.count(Soak.Counted.ENDLESS_ANSWER);
    soak.disturbFor(
        -1,
        Soak.ENGINES_FLOOD + "-" + answer,
        random.nextInt(300, 2_000),
        on ->
            some.forEach(r -> r.setEndlessAnswer(on > 0 ? Optional.of(answer) : Optional.empty())));
    soak.after(random.nextInt(1_000, 4_000), () -> answerWithoutEnd(random));
  }

  /** Ends one engine after the other; each starts again with a build that is drawn anew. */
  private void changeBuilds(SplittableRandom random) {
    if (!soak.isLoaded()) {
      return;
    }
    List<SoakRunner> engines = runners.stream().filter(SoakRunner::isEngine).toList();
    soak.count(Soak.Counted.BUILD_CHANGE);
    soak.crashAndReplace(engines.get(random.nextInt(engines.size())));
    soak.after(random.nextInt(1_000, 3_000), () -> changeBuilds(random));
  }

  /** Stops the store for a time and restores it from a backup, then writes a configuration. */
  private void restoreStore(SplittableRandom random) {
    if (!soak.isLoaded()) {
      return;
    }
    StoreStandin.Snapshot backup = store.snapshot();
    // Writes of other clients make versions go back by more than the number of rewritten objects.
    for (int i = 0; i < OTHER_CLIENTS_WRITES; i++) {
      store.put("others", "note", Json.object().put("is", i));
    }
    long millis = random.nextInt(300, 1_500);
    soak.after(random.nextInt(500, 2_500), () -> restore(backup, millis, random));
  }

  private void restore(StoreStandin.Snapshot backup, long millis, SplittableRandom random) {
    soak.count(Soak.Counted.RESTORE);
    soak.disturb(-1, "store-restored", millis);
    store.refuseWith(503);
    soak.after(
        millis,
        () -> {
          store.restore(backup);
          soak.rewriteAll();
          store.refuseWith(0);
        });
    soak.after(millis + random.nextInt(3_200, 4_500), soak::configure);
    soak.after(millis + random.nextInt(6_000, 9_000), () -> restoreStore(random));
  }
}
