/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import java.io.PrintStream;
import java.util.stream.Collectors;
import org.larkkeel.cli.output.LabelText;
import org.larkkeel.cli.output.Table;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.Match;
import org.larkkeel.config.ObjectKind;
import org.larkkeel.errors.Slugs;

/** Prints objects of one kind as a table. Stateless and safe for use by several threads. */
final class ObjectTables {
  private ObjectTables() {}

  /**
   * Prints the selected objects; members of pools are counted over the complete current
   * configuration.
   */
  static void print(
      Configuration selected, Configuration current, ObjectKind kind, PrintStream out) {
    Table table =
        switch (kind) {
          case UPSTREAM -> upstreamTable(selected);
          case POOL -> poolTable(selected, current);
          case RULE -> ruleTable(selected);
          case WORKSPACE -> workspaceTable(selected);
        };
    table.print(out);
  }

  private static Table upstreamTable(Configuration configuration) {
    Table table = new Table("UPSTREAM", "ADDRESS", "MODELS", "SLOTS", "LABELS");
    configuration
        .upstreams()
        .values()
        .forEach(
            u ->
                table.row(
                    u.name(),
                    u.address(),
                    u.models().stream().map(Object::toString).collect(Collectors.joining(",")),
                    u.slots(),
                    LabelText.of(u.labels())));
    return table;
  }

  private static Table poolTable(Configuration configuration, Configuration current) {
    Table table = new Table("POOL", "ROLE", "UPSTREAMS", "MEMBERS", "LABELS");
    configuration
        .pools()
        .values()
        .forEach(
            p ->
                table.row(
                    p.name(),
                    Slugs.of(p.role()),
                    p.upstreams(),
                    Relations.upstreamsOf(current, p).size(),
                    LabelText.of(p.labels())));
    return table;
  }

  private static Table ruleTable(Configuration configuration) {
    Table table = new Table("RULE", "PRIORITY", "MATCH", "POOLS", "URGENCY", "LABELS");
    configuration
        .rules()
        .values()
        .forEach(
            r ->
                table.row(
                    r.name(),
                    r.priority(),
                    describeMatch(r.match()),
                    r.pools(),
                    Slugs.of(r.urgency()),
                    LabelText.of(r.labels())));
    return table;
  }

  private static String describeMatch(Match match) {
    StringBuilder text = new StringBuilder();
    match.model().ifPresent(model -> text.append("model ").append(model).append(' '));
    match.pathPrefix().ifPresent(path -> text.append("path ").append(path).append(' '));
    if (!match.workspaces().requirements().isEmpty()) {
      text.append("workspaces ").append(match.workspaces());
    }
    return text.toString().strip();
  }

  private static Table workspaceTable(Configuration configuration) {
    Table table =
        new Table("WORKSPACE", "REQUESTS/S", "PROMPT TOKENS/S", "CONCURRENCY", "TOKEN", "LABELS");
    configuration
        .workspaces()
        .values()
        .forEach(
            w ->
                table.row(
                    w.name(),
                    limitText(w.limits().requestsPerSecond()),
                    limitText(w.limits().promptTokensPerSecond()),
                    limitText(w.limits().concurrency()),
                    w.tokenSha256().isPresent() ? "needed" : "none",
                    LabelText.of(w.labels())));
    return table;
  }

  private static String limitText(long value) {
    return value == 0 ? "" : Long.toString(value);
  }
}
