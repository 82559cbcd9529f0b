/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Changes the builds of the engines, and kills all or many nodes at once up to six seconds later.
 * Callers keep long streams open, and take up those that break off at any ready node. Checks that
 * few streams hold events of two builds, and that enough go on where their build serves.
 *
 * <p>Engines form pairs, of which one is of each build. The times of the faults depend on the
 * random source alone. Safe for use by several threads.
 */
final class SoakHerdKills {
  /** For seeds divisible by this, many nodes are killed at once while builds change. */
  static final int SEEDS = 37;

  /** The engines of such seeds; those of one build have room for all open streams. */
  static final int PREFILLS = 2;

  static final int DECODES = 12;

  private static final String NAME = "herd-";
  private static final int STREAMS_PER_SECOND = 12;
  private static final int FIRST_CHANGE_MILLIS = 3_000;
  private static final int CHANGE_MILLIS = 1_000;
  private static final long SERVES_ON_MILLIS = Soak.DRAIN_MILLIS + 1_500;

  /** Streams that break off within this time of a kill are taken as broken by it. */
  private static final long BREAK_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Streams that begin within this time of a kill are compared with those that it broke. */
  private static final long COMPARED_NANOS = TimeUnit.SECONDS.toNanos(6);

  private static final int MAX_MIXED = 2;
  private static final int MIN_TAKEN_UP = 12;

  /** The part of the share of new streams that begin which streams taken up must reach. */
  private static final double MIN_SHARE = 0.5;

  private static final int MIN_UPSTREAMS = 2;

  private final Soak soak;
  private final SoakLedger ledger;
  private final List<SoakRunner> runners;
  private final int nodes;
  private final SplittableRandom random;
  private final SplittableRandom callers;
  private final List<Tally> kills = new ArrayList<>();
  private final Set<String> mixed = new HashSet<>();

  /** In one of how many pairs the first change replaces an engine: 1 or 2. */
  private final int firstOneIn;

  private String target = SoakBuilds.NAMES.getFirst();
  private int changes;
  private int sent;

  /** The streams that a kill broke, and the new ones of the same seconds. */
  static final class Tally {
    private final long at = System.nanoTime();
    private int uncounted;
    private int takenUp;
    private int ended;
    private int sent;
    private int begun;

    private void add(Tally other) {
      uncounted += other.uncounted;
      takenUp += other.takenUp;
      ended += other.ended;
      sent += other.sent;
      begun += other.begun;
    }

    /** Returns whether too few of the streams that were taken up came to their end. */
    private boolean isBroken() {
      return takenUp >= MIN_TAKEN_UP && ended * sent < MIN_SHARE * begun * takenUp;
    }

    @Override
    public String toString() {
      return "taken_up=%d/%d uncounted=%d new=%d/%d"
          .formatted(ended, takenUp, uncounted, begun, sent);
    }
  }

  SoakHerdKills(
      Soak soak, SoakLedger ledger, List<SoakRunner> runners, int nodes, SplittableRandom random) {
    this.soak = soak;
    this.ledger = ledger;
    this.runners = runners;
    this.nodes = nodes;
    this.random = random;
    this.callers = random.split();
    this.firstOneIn = random.nextInt(1, 3);
  }

  /** Returns whether a stream is one of those that are open for seconds. */
  static boolean isLong(String stream) {
    return stream.startsWith(NAME);
  }

  /** Gives the engines of each pair their builds, and starts one of them and all other runners. */
  void startRunners() {
    List<SoakRunner> engines = engines();
    for (int i = 0; i < engines.size(); i++) {
      engines.get(i).setBuild(SoakBuilds.NAMES.get(i % 2));
    }
    runners.stream().filter(r -> !r.isEngine() || r.isOf(target)).forEach(SoakRunner::start);
  }

  /** Sends streams, changes builds and kills nodes until the load ends. */
  void start() {
    sendNext();
    soak.after(FIRST_CHANGE_MILLIS, this::changeNext);
  }

  private List<SoakRunner> engines() {
    return runners.stream().filter(SoakRunner::isEngine).toList();
  }

  private synchronized void sendNext() {
    if (!soak.isLoaded()) {
      return;
    }
    SplittableRandom own = callers.split();
    SoakCaller caller = new SoakCaller(soak, ledger, NAME + ++sent, own.nextLong());
    Thread.ofVirtual().start(() -> send(caller, own));
    soak.after(callers.nextInt(2_000 / STREAMS_PER_SECOND), this::sendNext);
  }

  private void send(SoakCaller caller, SplittableRandom own) {
    OptionalInt node = soak.findReadyNode(own);
    if (node.isEmpty()) {
      return;
    }
    try {
      caller.connect(node.getAsInt());
      caller.request("resume");
    } catch (IOException e) {
      // The node was killed after it was ready, so it gets no request.
    } finally {
      caller.disconnect();
    }
  }

  private synchronized void changeNext() {
    if (!soak.isLoaded()) {
      return;
    }
    List<SoakRunner> engines = engines();
    final boolean announced = random.nextInt(3) == 0;
    int visitor = random.nextInt(engines.size() / 2);
    soak.count(Soak.Counted.BUILD_CHANGE);
    // All pairs change or half of them, in an order that is drawn, and then an engine visits.
    switch (changes++ % 3) {
      case 0 -> changeBuilds(engines, firstOneIn, announced);
      case 1 -> changeBuilds(engines, 3 - firstOneIn, announced);
      default -> {
        int first = 2 * visitor;
        SoakRunner engine = engines.get(engines.get(first).isServing() ? first + 1 : first);
        engine.replace();
        soak.note("fault build-visits name=%s announced=%b".formatted(engine.id(), announced));
        soak.after(random.nextInt(500, 3_000), () -> leave(engine, announced));
      }
    }
    soak.after(random.nextInt(6_000), this::kill);
    soak.after(random.nextInt(9_000, 11_000), this::changeNext);
  }

  /** Lets one in some pairs change to the next target, and the others to the last one. */
  private void changeBuilds(List<SoakRunner> engines, int oneIn, boolean announced) {
    String other = target;
    target = SoakBuilds.other(target);
    soak.note(
        "fault builds-change to=%s pairs=1/%d announced=%b".formatted(target, oneIn, announced));
    int pairs = engines.size() / 2;
    for (int i = 0; i < pairs; i++) {
      String build = i % oneIn == 0 ? target : other;
      List<SoakRunner> pair = engines.subList(2 * i, 2 * i + 2);
      long millis = (long) i * CHANGE_MILLIS / pairs;
      int overlapMillis = random.nextInt(400);
      pair.stream()
          .filter(r -> r.isOf(build))
          .forEach(r -> soak.after(millis, () -> startUnlessServing(r)));
      pair.stream()
          .filter(r -> !r.isOf(build))
          .forEach(r -> soak.after(millis + overlapMillis, () -> leave(r, announced)));
    }
  }

  private static void startUnlessServing(SoakRunner engine) {
    if (!engine.isServing()) {
      engine.replace();
    }
  }

  /** Lets an engine leave with or without an announcement; it serves on for a time. */
  private void leave(SoakRunner engine, boolean announced) {
    if (!engine.isServing()) {
      return;
    }
    String name = engine.id();
    if (announced) {
      engine.announceLeaving();
    } else {
      engine.leaveList();
    }
    soak.after(SERVES_ON_MILLIS, () -> engine.end(name));
  }

  private synchronized void kill() {
    if (!soak.isLoaded()) {
      return;
    }
    int killed =
        switch (random.nextInt(8)) {
          case 0 -> nodes - 1;
          case 1 -> nodes / 2;
          default -> nodes;
        };
    soak.count(Soak.Counted.HERD_KILL);
    kills.add(new Tally());
    soak.killAtOnce(random.nextInt(nodes), killed);
  }

  /** Records whether a stream that was sent at a time has begun. */
  synchronized void answered(String stream, long sentNanos, boolean hasBegun) {
    if (isLong(stream) && !kills.isEmpty()) {
      Tally kill = kills.getLast();
      if (sentNanos >= kill.at && sentNanos - kill.at < COMPARED_NANOS) {
        kill.sent++;
        kill.begun += hasBegun ? 1 : 0;
      }
    }
  }

  /**
   * Returns the position of the kill that has just broken a stream that was sent at a time; empty
   * if none has.
   */
  synchronized OptionalInt killThatBroke(String stream, long sentNanos) {
    if (!isLong(stream) || kills.isEmpty()) {
      return OptionalInt.empty();
    }
    long at = kills.getLast().at;
    return sentNanos < at && System.nanoTime() - at < BREAK_NANOS
        ? OptionalInt.of(kills.size() - 1)
        : OptionalInt.empty();
  }

  /**
   * Records whether a stream that a kill broke came to its end. It counts only if enough engines of
   * its build have served since, if nodes had the store, and there was no other such kill.
   */
  synchronized void takenUp(int kill, String build, SoakCaller.TakeUp outcome) {
    Tally tally = kills.get(kill);
    long upstreams =
        runners.stream()
            .filter(r -> r.isOf(build) && r.isDecode() && r.hasServedSince(tally.at))
            .count();
    if (kill == kills.size() - 1
        && upstreams >= MIN_UPSTREAMS
        && soak.isLoaded()
        && outcome.isCertain()) {
      tally.takenUp++;
      tally.ended += outcome.hasEnded() ? 1 : 0;
    } else {
      tally.uncounted++;
    }
  }

  /** Records that a stream holds events of two builds. */
  synchronized void mixed(String stream, String detail) {
    mixed.add(stream);
    soak.note("order " + detail);
  }

  /** Adds a violation if more streams are mixed, or fewer go on, than callers were promised. */
  synchronized void check() {
    if (mixed.size() > MAX_MIXED) {
      ledger.violation("order", mixed.size() + " streams hold events of two builds: " + mixed);
    }
    for (Tally kill : kills) {
      if (kill.isBroken()) {
        ledger.violation("taken-up", "kill " + (kills.indexOf(kill) + 1) + ": " + kill);
      }
    }
    if (total().isBroken()) {
      ledger.violation("taken-up", "all kills: " + total());
    }
  }

  private Tally total() {
    Tally total = new Tally();
    kills.forEach(total::add);
    return total;
  }

  /** Returns the counts of the run. */
  @Override
  public synchronized String toString() {
    return "mixed=%d %s kills=%s".formatted(mixed.size(), total(), kills);
  }
}
