/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import java.time.Instant;
import java.util.stream.Collectors;
import org.kohsuke.args4j.Option;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.cli.errors.Messages;
import org.larkkeel.cli.output.Table;
import org.larkkeel.config.Change;
import org.larkkeel.config.Operation;
import org.larkkeel.http.operator.AuditPage;
import org.larkkeel.lib.Revision;

/** Lists accepted changes. */
@CommandInfo(
    name = "audit",
    summary = "Lists accepted changes: who changed what, when and why.",
    example = "larkkeel audit --since 40 --limit 10")
final class AuditCommand extends Command {
  private static final int DEFAULT_LIMIT = 100;

  /** Maximum number of operations per change in the table; the JSON output has all of them. */
  private static final int MAX_SHOWN_OPERATIONS = 3;

  @Option(
      name = "--since",
      metaVar = "REVISION",
      usage = "the first revision to list; 1 by default")
  private long since = 1;

  @Option(name = "--limit", metaVar = "N", usage = "the most changes to list; 100 by default")
  private int limit = DEFAULT_LIMIT;

  @Override
  protected ExitCode run() {
    AuditPage page = client().audit(new Revision(since), limit);
    print(page, () -> toTable(page).print(out()));
    return ExitCode.OK;
  }

  private static Table toTable(AuditPage page) {
    Table table = new Table("REVISION", "TIME", "AUTHOR", "REASON", "CHANGE", "OPERATIONS");
    for (AuditPage.Entry entry : page.entries()) {
      Change change = entry.change();
      table.row(
          entry.revision(),
          Instant.ofEpochMilli(change.atMillis()),
          change.author(),
          change.reason(),
          change.id(),
          describeOperations(change));
    }
    return table;
  }

  private static String describeOperations(Change change) {
    String shown =
        change.operations().stream()
            .limit(MAX_SHOWN_OPERATIONS)
            .map(AuditCommand::describeOperation)
            .collect(Collectors.joining(", "));
    int hidden = change.operations().size() - MAX_SHOWN_OPERATIONS;
    return hidden > 0 ? Messages.MORE_OPERATIONS.formatted(shown, hidden) : shown;
  }

  private static String describeOperation(Operation operation) {
    return switch (operation) {
      case Operation.Put put -> "put " + put.target();
      case Operation.Delete delete -> "delete " + delete.target();
      case Operation.Label label -> "label " + label.target();
    };
  }
}
