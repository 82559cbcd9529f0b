/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The faults of a soak that are drawn one after the other. They may overlap, also at the same
 * target.
 *
 * <p>Confined to the thread that draws; what ends a fault later runs on the soak's timer.
 */
final class SoakFaults {
  private static final int MAX_ENTRY_DELAY_MILLIS = 1_000;
  private static final long MIN_INVALID_MILLIS = 1_500;

  /** The modes of proxies that are drawn are those before this index, except the first. */
  private static final int DRAWN_MODES = SoakProxy.Mode.FROZEN.ordinal();

  private final Soak soak;
  private final StoreStandin store;
  private final List<SoakProxy> storeProxies;
  private final List<SoakRunner> runners;
  private final SoakStrays strays;
  private final int nodes;
  private final SplittableRandom random;

  /** Creates the faults; the lists may be filled later, and the random source is shared. */
  SoakFaults(
      Soak soak,
      StoreStandin store,
      List<SoakProxy> storeProxies,
      List<SoakRunner> runners,
      SoakStrays strays,
      int nodes,
      SplittableRandom random) {
    this.soak = soak;
    this.store = store;
    this.storeProxies = storeProxies;
    this.runners = runners;
    this.strays = strays;
    this.nodes = nodes;
    this.random = random;
  }

  /** Draws a fault and injects it. */
  void inject() {
    int node = random.nextInt(nodes);
    long millis = random.nextLong(200, 2_500);
    SoakRunner runner = runners.get(random.nextInt(runners.size()));
    switch (random.nextInt(23)) {
      case 0, 1 -> soak.signal(node, "KILL", 4_000);
      case 2, 3 -> soak.signal(node, "TERM", 8_000);
      case 4, 5 -> pause(node, millis);
      case 6 -> soak.signal(node, "HUP", 0);
      case 7 -> soak.disturbFor(-1, "store-503", millis, on -> store.refuseWith(on > 0 ? 503 : 0));
      case 8 -> soak.disturbFor(-1, "store-429", millis, on -> store.refuseWith(on > 0 ? 429 : 0));
      case 9 -> soak.disturbFor(-1, "store-loses", millis, on -> store.loseWriteAnswers(on > 0));
      case 10 -> disturbProxy(node, "store", storeProxies.get(node)::setMode, millis);
      case 11, 12 -> disturbProxy(-1, Soak.RUNNER, runner.paths::setMode, millis);
      case 13 -> {
        SoakRunner.Fault f = SoakRunner.Fault.values()[random.nextInt(1, 7)];
        soak.disturbFor(
            -1,
            Soak.RUNNER + "-" + f,
            millis,
            on -> runner.setFault(on > 0 ? f : SoakRunner.Fault.NONE));
      }
      case 14 -> replace(runner);
      case 15 -> {
        soak.configure();
        Soak.print("fault config version=%d", soak.configurationVersion());
      }
      case 16, 17, 18 -> restart(runner);
      case 19, 20 -> addStray(millis);
      default -> makeEntryInvalid(runner, millis);
    }
  }

  private void pause(int node, long millis) {
    soak.disturb(node, Soak.PAUSE, millis);
    Soak.print("signal %d STOP", node);
    soak.after(millis, () -> Soak.print("signal %d CONT", node));
  }

  private void disturbProxy(int node, String what, Consumer<SoakProxy.Mode> proxy, long millis) {
    SoakProxy.Mode mode = SoakProxy.Mode.values()[random.nextInt(1, DRAWN_MODES)];
    soak.disturbFor(
        node, what + "-" + mode, millis, on -> proxy.accept(on > 0 ? mode : SoakProxy.Mode.PASS));
  }

  /** Lets a runner leave, with or without notice; another one takes its address. */
  private void replace(SoakRunner runner) {
    boolean notice = random.nextBoolean();
    if (!runner.isServing()) {
      soak.count(Soak.Counted.NOT_UP);
    } else if (notice) {
      runner.announceLeaving();
      Soak.print("fault runner drains");
      soak.after(
          Soak.DRAIN_MILLIS + 1_500,
          () -> {
            soak.disturb(-1, Soak.RUNNER + "-ends", 200);
            runner.replace();
          });
    } else {
      soak.disturb(-1, Soak.RUNNER + "-crashes", 1_000);
      runner.paths.setMode(SoakProxy.Mode.RESET);
      runner.end();
      soak.after(
          800,
          () -> {
            runner.paths.setMode(SoakProxy.Mode.PASS);
            runner.start();
          });
    }
  }

  /**
   * Restarts a runner under the same name. Its start time may be before the previous one, as if its
   * clock was set back, and it may answer before its entry changes.
   */
  private void restart(SoakRunner runner) {
    long backMillis = random.nextBoolean() ? 0 : random.nextLong(1, 3_600_000);
    int downMillis = random.nextBoolean() ? 0 : random.nextInt(1, 800);
    int entryDelayMillis = random.nextBoolean() ? 0 : random.nextInt(1, MAX_ENTRY_DELAY_MILLIS);
    soak.count(Soak.Counted.RESTART);
    if (backMillis > 0) {
      soak.count(Soak.Counted.RESTART_CLOCK_BACK);
    }
    if (downMillis < entryDelayMillis) {
      soak.count(Soak.Counted.RESTART_BEFORE_ENTRY);
    }
    if (!runner.isServing()) {
      soak.count(Soak.Counted.NOT_UP);
      return;
    }
    soak.disturb(
        -1,
        Soak.RUNNER + "-restarts back_ms=" + backMillis + " entry_late_ms=" + entryDelayMillis,
        downMillis + 200);
    if (downMillis > 0) {
      runner.paths.setMode(SoakProxy.Mode.RESET);
      soak.after(downMillis, () -> runner.paths.setMode(SoakProxy.Mode.PASS));
    }
    runner.restart(backMillis);
    soak.after(entryDelayMillis, runner::register);
  }

  /** Adds an invalid entry under a name of no runner, for a time or until the end. */
  private void addStray(long millis) {
    InvalidEntry shape = InvalidEntry.draw(random);
    boolean stays = random.nextBoolean();
    String name = strays.add(shape, random);
    soak.count(Soak.Counted.BAD_ENTRY);
    Soak.print("fault bad-entry name=%s %s for_ms=%s", name, shape, stays ? "ever" : millis);
    if (!stays) {
      soak.after(millis, () -> strays.remove(name));
    }
  }

  /** Makes the entry of a running runner invalid, and later valid again. */
  private void makeEntryInvalid(SoakRunner runner, long millis) {
    InvalidEntry shape = InvalidEntry.draw(random);
    soak.count(Soak.Counted.TURNS_BAD);
    if (!runner.isServing()) {
      soak.count(Soak.Counted.NOT_UP);
      return;
    }
    Soak.print(
        "fault turns-bad name=%s %s for_ms=%d", runner.id(), shape, MIN_INVALID_MILLIS + millis);
    runner.setEntryShape(Optional.of(shape));
    soak.after(MIN_INVALID_MILLIS + millis, () -> runner.setEntryShape(Optional.empty()));
  }
}
