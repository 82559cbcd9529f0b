/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.OffsetDateTime;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.kohsuke.args4j.Argument;
import org.larkkeel.cli.errors.CommandFailure;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.cli.errors.Messages;

/**
 * Collects the log lines of one call from several nodes, and the lines on the state of its
 * upstreams.
 *
 * <p>A line on the state of upstreams is included if it comes from a node that logged the call,
 * names an upstream of the call or none, and lies between ten seconds before the call's first line
 * and its last line.
 */
@CommandInfo(
    name = "explain-log",
    summary = "Gathers the lines of one call from the logs of several nodes, in order of time.",
    example = "larkkeel explain-log 7c91fe583e297b3b node-1.log node-2.log")
final class ExplainLogCommand extends Command {
  private static final Pattern TIME_KEY = Pattern.compile("\\btime=(\\S+)");
  private static final Pattern UPSTREAM_KEY = Pattern.compile("\\bupstream=(\\S+)");
  private static final Pattern UPSTREAM_STATE_EVENT =
      Pattern.compile("\\bevent=(upstream_changed|ejected|restored|ordered|in_force) ");
  private static final int SECONDS_BEFORE_CALL = 10;

  @Argument(index = 0, metaVar = "CALL", required = true, usage = "what the caller calls it")
  private String call;

  @Argument(
      index = 1,
      metaVar = "FILE",
      required = true,
      multiValued = true,
      usage = "the logs of nodes")
  private List<String> files = new ArrayList<>();

  /** A line of a log. */
  private record Line(String time, String file, String text) {}

  @Override
  protected ExitCode run() {
    List<Line> allLines = new ArrayList<>();
    files.forEach(file -> readLines(file, allLines));
    Pattern callPattern = Pattern.compile("\\bcall=" + Pattern.quote(call) + "(\\s|$)");
    List<Line> callLines =
        allLines.stream().filter(l -> callPattern.matcher(l.text()).find()).toList();
    if (callLines.isEmpty()) {
      throw new CommandFailure(
          ExitCode.NOT_FOUND,
          "no line of the call \""
              + call
              + "\": name the logs of all nodes that the caller may have reached");
    }
    List<Line> selectedLines = new ArrayList<>(callLines);
    allLines.stream().filter(l -> isRelatedUpstreamState(l, callLines)).forEach(selectedLines::add);
    selectedLines.sort(Comparator.comparing(Line::time));
    selectedLines.forEach(l -> out().println(l.file() + ": " + l.text()));
    return ExitCode.OK;
  }

  private static void readLines(String file, List<Line> lines) {
    try {
      Path path = Path.of(file);
      for (String text : Files.readAllLines(path, StandardCharsets.UTF_8)) {
        Matcher time = TIME_KEY.matcher(text);
        if (time.find()) {
          lines.add(new Line(time.group(1), String.valueOf(path.getFileName()), text));
        }
      }
    } catch (IOException e) {
      throw new CommandFailure(ExitCode.USAGE, Messages.UNREADABLE.formatted(file, e.getMessage()));
    }
  }

  /**
   * Returns whether a line reports how a node of the call saw the state of one of the call's
   * upstreams, within the time of the call.
   */
  private static boolean isRelatedUpstreamState(Line line, List<Line> callLines) {
    if (!UPSTREAM_STATE_EVENT.matcher(line.text()).find()) {
      return false;
    }
    Set<String> nodes = new HashSet<>();
    Set<String> upstreams = new HashSet<>();
    for (Line callLine : callLines) {
      nodes.add(callLine.file());
      upstreamOf(callLine).ifPresent(upstreams::add);
    }
    boolean related = upstreamOf(line).map(upstreams::contains).orElse(true);
    return nodes.contains(line.file())
        && related
        && line.time().compareTo(windowStart(callLines)) >= 0
        && line.time().compareTo(callLines.getLast().time()) <= 0;
  }

  private static Optional<String> upstreamOf(Line line) {
    Matcher matcher = UPSTREAM_KEY.matcher(line.text());
    return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
  }

  private static String windowStart(List<Line> callLines) {
    String first = callLines.stream().map(Line::time).min(Comparator.naturalOrder()).orElseThrow();
    try {
      return OffsetDateTime.parse(first).minusSeconds(SECONDS_BEFORE_CALL).toString();
    } catch (DateTimeParseException e) {
      return first;
    }
  }
}
