/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.demo;

import java.util.Optional;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.larkkeel.daemon.settings.SlotSharing;

/** The command-line options of the demo. Set by the parser and only read afterwards. */
final class DemoOptions {
  private static final int MAX_NODES = 64;
  private static final int MAX_SECONDS = 3_600;
  private static final int MAX_RATE = 2_000;

  @Option(name = "--nodes", metaVar = "N", usage = "nodes of larkkeel, 1 to 64")
  private int nodes = 3;

  @Option(name = "--seconds", metaVar = "N", usage = "how long requests are sent, 1 to 3600")
  private int seconds = 10;

  @Option(name = "--rate", metaVar = "N", usage = "requests sent a second, 1 to 2000")
  private int rate = 60;

  @Option(
      name = "--kill-node-at",
      metaVar = "SECONDS",
      usage = "kill one node at this time; its callers go to others")
  private Integer killNodeAt;

  @Option(
      name = "--kill-engine-at",
      metaVar = "SECONDS",
      usage = "kill one prefill and one decode engine at this time; they restart 3 s later")
  private Integer killEngineAt;

  @Option(
      name = "--store-outage",
      metaVar = "FROM,TO",
      usage = "the platform's store is down between these seconds")
  private String storeOutage;

  @Option(
      name = "--slots",
      usage = "how nodes share decode slots: each counts on reports, or their owner grants them")
  private SlotSharing slots = SlotSharing.GRANTED;

  @Option(name = "--seed", metaVar = "N", usage = "chooses the requests")
  private long seed = 1;

  @Option(name = "--verbose", usage = "also log the events of the nodes")
  private boolean verbose;

  @Option(name = "--help", aliases = "-h", help = true, usage = "print this and end")
  private boolean help;

  /** The period in which the store is down, in seconds since the start of the load. */
  record Outage(int from, int to) {}

  int nodes() {
    return nodes;
  }

  int seconds() {
    return seconds;
  }

  int rate() {
    return rate;
  }

  Optional<Integer> killNodeAt() {
    return Optional.ofNullable(killNodeAt);
  }

  Optional<Integer> killEngineAt() {
    return Optional.ofNullable(killEngineAt);
  }

  Optional<Outage> storeOutage() {
    if (storeOutage == null) {
      return Optional.empty();
    }
    String[] parts = storeOutage.split(",", -1);
    return Optional.of(
        new Outage(Integer.parseInt(parts[0].strip()), Integer.parseInt(parts[1].strip())));
  }

  SlotSharing slots() {
    return slots;
  }

  long seed() {
    return seed;
  }

  boolean verbose() {
    return verbose;
  }

  boolean help() {
    return help;
  }

  /** Validates the ranges of all options. */
  void validate(CmdLineParser parser) throws CmdLineException {
    checkRange(parser, "--nodes", nodes, 1, MAX_NODES);
    checkRange(parser, "--seconds", seconds, 1, MAX_SECONDS);
    checkRange(parser, "--rate", rate, 1, MAX_RATE);
    if (killNodeAt != null) {
      checkRange(parser, "--kill-node-at", killNodeAt, 0, seconds);
      checkRange(parser, "--nodes with --kill-node-at", nodes, 2, MAX_NODES);
    }
    if (killEngineAt != null) {
      checkRange(parser, "--kill-engine-at", killEngineAt, 0, seconds);
    }
    if (storeOutage != null) {
      checkOutage(parser);
    }
  }

  private void checkOutage(CmdLineParser parser) throws CmdLineException {
    if (!storeOutage.strip().matches("\\d{1,4}\\s*,\\s*\\d{1,4}")) {
      throw new CmdLineException(
          parser, "--store-outage is \"" + storeOutage + "\": write FROM,TO in seconds", null);
    }
    Outage outage = storeOutage().orElseThrow();
    checkRange(parser, "the start of --store-outage", outage.from, 0, seconds);
    checkRange(parser, "the end of --store-outage", outage.to, outage.from, seconds);
  }

  private static void checkRange(CmdLineParser parser, String name, int value, int min, int max)
      throws CmdLineException {
    if (value < min || value > max) {
      throw new CmdLineException(
          parser, name + " is " + value + ": use " + min + " to " + max, null);
    }
  }
}
