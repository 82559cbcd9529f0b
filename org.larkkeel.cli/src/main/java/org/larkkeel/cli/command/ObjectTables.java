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

  /** Prints the chosen objects; relations are counted over the present configuration in whole. */
  static void print(Configuration chosen, Configuration present, ObjectKind kind, PrintStream out) {
    Table table =
        switch (kind) {
          case UPSTREAM -> upstreams(chosen);
          case POOL -> pools(chosen, present);
          case RULE -> rules(chosen);
          case WORKSPACE -> workspaces(chosen);
        };
    table.print(out);
  }

  private static Table upstreams(Configuration configuration) {
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

  private static Table pools(Configuration configuration, Configuration present) {
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
                    Relations.upstreamsOf(present, p).size(),
                    LabelText.of(p.labels())));
    return table;
  }

  private static Table rules(Configuration configuration) {
    Table table = new Table("RULE", "PRIORITY", "MATCH", "POOLS", "URGENCY", "LABELS");
    configuration
        .rules()
        .values()
        .forEach(
            r ->
                table.row(
                    r.name(),
                    r.priority(),
                    text(r.match()),
                    r.pools(),
                    Slugs.of(r.urgency()),
                    LabelText.of(r.labels())));
    return table;
  }

  private static String text(Match match) {
    StringBuilder text = new StringBuilder();
    match.model().ifPresent(model -> text.append("model ").append(model).append(' '));
    match.pathPrefix().ifPresent(path -> text.append("path ").append(path).append(' '));
    if (!match.workspaces().requirements().isEmpty()) {
      text.append("workspaces ").append(match.workspaces());
    }
    return text.toString().strip();
  }

  private static Table workspaces(Configuration configuration) {
    Table table =
        new Table("WORKSPACE", "REQUESTS/S", "PROMPT TOKENS/S", "CONCURRENCY", "TOKEN", "LABELS");
    configuration
        .workspaces()
        .values()
        .forEach(
            w ->
                table.row(
                    w.name(),
                    limit(w.limits().requestsPerSecond()),
                    limit(w.limits().promptTokensPerSecond()),
                    limit(w.limits().concurrency()),
                    w.tokenSha256().isPresent() ? "needed" : "none",
                    LabelText.of(w.labels())));
    return table;
  }

  private static String limit(long value) {
    return value == 0 ? "" : Long.toString(value);
  }
}
