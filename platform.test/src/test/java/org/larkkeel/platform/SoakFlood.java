/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * A load balancer that sends most new connections to one node, and to the next one once that node
 * is not ready. All nodes have a part of a core. Checks that nodes serve what they read.
 *
 * <p>A caller whose connection is closed unread tries another node. Safe for use by several
 * threads.
 */
final class SoakFlood {
  /** For seeds divisible by this, the load balancer favours a node. */
  static final int SEEDS = 29;

  /** The engines of such seeds, which have room for the load. */
  static final int DECODES = 10;

  private static final long STEADY_MILLIS = 5_000;
  private static final long LEARN_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final int MAX_CONNECTIONS = 6;

  /** The share of the requests that were read and served before the flood that must be kept. */
  private static final double MIN_SHARE = 0.75;

  private static final int MIN_REQUESTS = 40;

  private final Soak soak;
  private final SoakLedger ledger;
  private final SplittableRandom random;
  private final int nodes;
  private final int percent;
  private final int perSecond;
  private final double factor;
  private final boolean follows;
  private final Tally before = new Tally();
  private final Tally early = new Tally();
  private final Tally since = new Tally();
  private long floodAt = Long.MAX_VALUE;
  private int favoured;
  private int moves;
  private int sent;

  /** The requests of a period that were read, and those of them that were served. */
  private static final class Tally {
    private int read;
    private int served;
    private int closed;

    double share() {
      return read == 0 ? 1 : (double) served / read;
    }

    @Override
    public String toString() {
      return "%d/%d closed=%d".formatted(served, read, closed);
    }
  }

  SoakFlood(Soak soak, SoakLedger ledger, int nodes, SplittableRandom random) {
    this.soak = soak;
    this.ledger = ledger;
    this.nodes = nodes;
    this.random = random;
    this.percent = Integer.getInteger("flood.percent", random.nextInt(20, 45));
    this.perSecond = Integer.getInteger("flood.rate", percent * 3 / 2 - random.nextInt(10));
    this.factor = 1.5 + random.nextInt(3) * 0.5;
    this.follows = random.nextInt(4) > 0;
    this.favoured = random.nextInt(nodes);
  }

  synchronized void start() {
    soak.throttle(percent);
    floodAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STEADY_MILLIS);
    sendNext();
    soak.after(STEADY_MILLIS, this::follow);
  }

  private synchronized boolean isFlood() {
    return System.nanoTime() >= floodAt;
  }

  /** Favours the next node if the current one is not ready. */
  private void follow() {
    if (!soak.isLoaded()) {
      return;
    }
    if (follows && !soak.isReady(favoured)) {
      moveOn();
    }
    soak.after(100, this::follow);
  }

  private synchronized void moveOn() {
    favoured = (favoured + 1) % nodes;
    moves++;
  }

  private synchronized void sendNext() {
    if (!soak.isLoaded()) {
      return;
    }
    String id = "flood-" + ++sent;
    int node = isFlood() ? favoured : random.nextInt(nodes);
    long seed = random.nextLong();
    Thread.ofVirtual().start(() -> call(id, node, new SplittableRandom(seed)));
    double rate = isFlood() ? perSecond * factor : perSecond;
    soak.after(Math.round(random.nextDouble() * 2_000 / rate), this::sendNext);
  }

  private void call(String id, int first, SplittableRandom draw) {
    int node = first;
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      long at = System.nanoTime();
      String wire = id + "-" + i;
      String path = "/resume/" + wire + "?q=1";
      ledger.sent(wire, new SoakLedger.Sent(node, "POST", path, "b", false));
      String answer = exchange(node, wire, path);
      boolean isRead = !answer.isEmpty() || ledger.hasRun(wire);
      count(wire, node, at, isRead, answer);
      if (isRead) {
        return;
      }
      node = draw.nextInt(nodes);
    }
  }

  private String exchange(int node, String wire, String path) {
    try (RawClient client =
        new RawClient(new InetSocketAddress(soak.host(node), Soak.CALLER_PORT))) {
      String headers =
          "X-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\n"
              .concat("X-Model: m\r\nX-Token-Usage: 1000,60\r\n%s\r\n")
              .formatted(wire, SoakCrashes.promptOf(wire));
      client.send("POST", path, headers, "b");
      return client.readToEnd();
    } catch (IOException e) {
      return "";
    }
  }

  private synchronized void count(String wire, int node, long at, boolean isRead, String answer) {
    if (soak.wasDisturbed(node, at)) {
      return;
    }
    Tally tally = at < floodAt ? before : at - floodAt < LEARN_NANOS ? early : since;
    boolean isServed = answer.startsWith("HTTP/1.1 200") && answer.endsWith("\r\n0\r\n\r\n");
    if (!isRead) {
      tally.closed++;
      return;
    }
    tally.read++;
    tally.served += isServed ? 1 : 0;
    if (!isServed) {
      String status = answer.lines().findFirst().orElse("none");
      ledger.outcome("flood-" + status.replace(' ', '-'));
      if (answer.contains("problems/")) {
        String kind = answer.substring(answer.indexOf("problems/") + 9);
        ledger.outcome("flood-" + kind.substring(0, kind.indexOf('"')));
      }
    }
  }

  synchronized void check() {
    soak.note(
        "flood percent=%d rate=%d factor=%.1f follows=%b moves=%d before=[%s] early=[%s] since=[%s]"
            .formatted(percent, perSecond, factor, follows, moves, before, early, since));
    if (since.read >= MIN_REQUESTS && since.share() < MIN_SHARE * before.share()) {
      ledger.violation(
          "recover",
          "of requests that were read, served %s, before the flood %s".formatted(since, before));
    }
  }
}
