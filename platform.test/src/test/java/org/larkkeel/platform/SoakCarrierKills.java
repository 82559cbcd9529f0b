/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Kills nodes while others reach runners through them only, and runners in the midst of answers.
 * The system closes the connections of a killed process in order, so that those of its answers that
 * end with their connection look complete.
 *
 * <p>Paths are cut beside it ({@link SoakPathCuts}). Safe for use by several threads.
 */
final class SoakCarrierKills {
  /**
   * For seeds divisible by this, but not by that of the check of lost paths, carriers are killed.
   */
  private static final int SEEDS = 41;

  /**
   * The time from the kill of a runner to its restart. It is longer than pauses of nodes and delays
   * of connections, as a node that learns of the end after the restart can not know of the kill.
   */
  private static final long RESTART_MILLIS = 3_500;

  /** The time for which a killed node counts as disturbed. */
  private static final long NODE_KILL_MILLIS = 4_000;

  private static final long RUNNER_KILL_MILLIS = 500;

  private final Soak soak;
  private final List<SoakRunner> runners;
  private final SplittableRandom carrierDraws;
  private final SplittableRandom runnerDraws;

  SoakCarrierKills(Soak soak, List<SoakRunner> runners, SplittableRandom random) {
    this.soak = soak;
    this.runners = runners;
    this.carrierDraws = random.split();
    this.runnerDraws = random.split();
  }

  static boolean come(long seed) {
    return seed % SEEDS == 0 && seed % SoakRecurringFaults.PATH_CUT_SEEDS != 0;
  }

  /** Kills carriers and runners until the load ends. */
  void start() {
    soak.after(runnerDraws.nextInt(500, 1_500), this::killRunner);
    soak.after(carrierDraws.nextInt(1_500, 2_500), this::killCarrier);
  }

  private synchronized void killCarrier() {
    if (!soak.isLoaded()) {
      return;
    }
    int draw = carrierDraws.nextInt(1 << 10);
    boolean stopsBefore = carrierDraws.nextBoolean();
    final long stopMillis = carrierDraws.nextLong(50, 500);
    final long pauseMillis = carrierDraws.nextLong(1_000, 2_000);
    List<Integer> carriers = soak.pathCuts().carriers();
    if (!carriers.isEmpty()) {
      int node = carriers.get(draw % carriers.size());
      soak.count(Soak.Counted.CARRIER_KILL);
      if (stopsBefore) {
        soak.signal(node, "STOP", stopMillis);
      }
      soak.after(stopsBefore ? stopMillis : 0, () -> soak.signal(node, "KILL", NODE_KILL_MILLIS));
    }
    soak.after(pauseMillis, this::killCarrier);
  }

  private synchronized void killRunner() {
    if (!soak.isLoaded()) {
      return;
    }
    SoakRunner runner = runners.get(runnerDraws.nextInt(runners.size()));
    if (runners.stream().anyMatch(r -> r != runner && r.isServing() && r.servesLike(runner))) {
      kill(runner);
    }
    soak.after(runnerDraws.nextLong(600, 1_800), this::killRunner);
  }

  /**
   * Kills a runner that is serving, and starts it under a new name later. Its connections are
   * closed in order, as the system closes those of a process that was killed.
   */
  private void kill(SoakRunner runner) {
    synchronized (soak) {
      if (!runner.isServing()) {
        return;
      }
      soak.count(Soak.Counted.RUNNER_KILL);
      soak.disturb(-1, Soak.RUNNER + "-killed", RUNNER_KILL_MILLIS);
      final String name = runner.id();
      runner.paths.refuseNew();
      runner.crash();
      soak.after(Soak.EXPIRY_MILLIS, () -> runner.expire(name));
      soak.after(RESTART_MILLIS, () -> startAgain(runner));
    }
  }

  private void startAgain(SoakRunner runner) {
    synchronized (soak) {
      runner.paths.up();
      if (!runner.isServing()) {
        runner.start();
      }
    }
  }
}
