/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.util.List;
import java.util.SplittableRandom;

/**
 * The builds of the stand-in engines. Each writes its name into its events, so that a stream that
 * holds events of two builds shows it in its text.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class SoakBuilds {
  /** In runs whose seed is a multiple of this, engines are of two builds and callers resume. */
  private static final int SEEDS = 8;

  /** The build of engines in all other runs. */
  static final String NONE = "";

  static final List<String> NAMES = List.of("b1", "b2");
  private static final String MARK = "@";

  private SoakBuilds() {}

  static boolean areMixed(long seed) {
    return seed % SEEDS == 0;
  }

  /** Draws the build of an engine that starts. */
  static String draw(SplittableRandom random) {
    return NAMES.get(random.nextInt(NAMES.size()));
  }

  /** Returns the other one of the two builds. */
  static String other(String build) {
    return NAMES.get(1 - NAMES.indexOf(build));
  }

  /** Returns an event of a stream as a build writes it. */
  static String event(String stream, int i, String build) {
    String mark = build.isEmpty() ? "" : MARK + build;
    return "id: " + i + "\ndata: " + stream + "-" + i + mark + "\n\n";
  }

  /** Returns the events of a stream after one, as a build writes them. */
  static String eventsAfter(String stream, int last, String build) {
    StringBuilder all = new StringBuilder();
    for (int i = last + 1; i <= SoakCaller.events(stream); i++) {
      all.append(event(stream, i, build));
    }
    return all.toString();
  }

  /** Returns the number of complete events in the beginning of a stream. */
  static int completeEvents(String body) {
    return body.split("\n\n", -1).length - 1;
  }

  /** Returns the build that wrote the first event of a body. */
  static String buildOf(String body) {
    String first = body.substring(0, body.indexOf("\n\n"));
    return first.contains(MARK) ? first.substring(first.lastIndexOf(MARK) + 1) : NONE;
  }

  /** Returns whether a body is a stream, or the beginning of one, of a single build. */
  static boolean isOfOneBuild(String stream, int last, String body, boolean complete) {
    return completeEvents(body) == 0
        ? !complete && body.length() < event(stream, last + 1, NAMES.getFirst()).length()
        : isOfBuild(stream, last, body, complete, buildOf(body));
  }

  /** Returns whether a body holds the events after one, or their beginning, as a build does. */
  static boolean isOfBuild(String stream, int last, String body, boolean complete, String build) {
    String expected = eventsAfter(stream, last, build);
    return complete ? body.equals(expected) : expected.startsWith(body);
  }
}
