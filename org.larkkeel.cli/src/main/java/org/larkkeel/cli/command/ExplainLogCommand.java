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
 * Gathers what nodes logged of one call, and of the upstreams that had to do with it.
 *
 * <p>Lines of upstreams are those of what was believed of them from ten seconds before the call's
 * first line to its last one.
 */
@CommandInfo(
    name = "explain-log",
    summary = "Gathers the lines of one call from the logs of several nodes, in order of time.",
    example = "larkkeel explain-log 7c91fe583e297b3b node-1.log node-2.log")
final class ExplainLogCommand extends Command {
  private static final Pattern TIME = Pattern.compile("\\btime=(\\S+)");
  private static final Pattern UPSTREAM = Pattern.compile("\\bupstream=(\\S+)");
  private static final Pattern BELIEF =
      Pattern.compile("\\bevent=(upstream_changed|ejected|restored|ordered|in_force) ");
  private static final int BEFORE_SECONDS = 10;

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
    List<Line> all = new ArrayList<>();
    files.forEach(file -> read(file, all));
    Pattern ofCall = Pattern.compile("\\bcall=" + Pattern.quote(call) + "(\\s|$)");
    List<Line> own = all.stream().filter(l -> ofCall.matcher(l.text()).find()).toList();
    if (own.isEmpty()) {
      throw new CommandFailure(
          ExitCode.NOT_FOUND,
          "no line of the call \""
              + call
              + "\": name the logs of all nodes that the caller may have reached");
    }
    List<Line> told = new ArrayList<>(own);
    all.stream().filter(l -> isBelief(l, own)).forEach(told::add);
    told.sort(Comparator.comparing(Line::time));
    told.forEach(l -> out().println(l.file() + ": " + l.text()));
    return ExitCode.OK;
  }

  private static void read(String file, List<Line> to) {
    try {
      Path path = Path.of(file);
      for (String text : Files.readAllLines(path, StandardCharsets.UTF_8)) {
        Matcher time = TIME.matcher(text);
        if (time.find()) {
          to.add(new Line(time.group(1), String.valueOf(path.getFileName()), text));
        }
      }
    } catch (IOException e) {
      throw new CommandFailure(ExitCode.USAGE, Messages.UNREADABLE.formatted(file, e.getMessage()));
    }
  }

  /** Whether a line tells what a node of the call believed of one of its upstreams. */
  private static boolean isBelief(Line line, List<Line> own) {
    if (!BELIEF.matcher(line.text()).find()) {
      return false;
    }
    Set<String> nodes = new HashSet<>();
    Set<String> upstreams = new HashSet<>();
    for (Line l : own) {
      nodes.add(l.file());
      upstream(l).ifPresent(upstreams::add);
    }
    boolean related = upstream(line).map(upstreams::contains).orElse(true);
    return nodes.contains(line.file())
        && related
        && line.time().compareTo(earliest(own)) >= 0
        && line.time().compareTo(own.getLast().time()) <= 0;
  }

  private static Optional<String> upstream(Line line) {
    Matcher m = UPSTREAM.matcher(line.text());
    return m.find() ? Optional.of(m.group(1)) : Optional.empty();
  }

  private static String earliest(List<Line> own) {
    String first = own.stream().map(Line::time).min(Comparator.naturalOrder()).orElseThrow();
    try {
      return OffsetDateTime.parse(first).minusSeconds(BEFORE_SECONDS).toString();
    } catch (DateTimeParseException e) {
      return first;
    }
  }
}
