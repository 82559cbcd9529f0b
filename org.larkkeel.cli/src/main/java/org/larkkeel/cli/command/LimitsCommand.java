/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.cli.output.Table;
import org.larkkeel.http.operator.LimitStatus;

/** Lists the request rate limits that upstreams announced. */
@CommandInfo(
    name = "limits",
    summary =
        "Lists the requests a second that upstreams take of all nodes, where they name a limit;"
            + " --server is the metrics address of a relay node.",
    example = "larkkeel limits --server 10.0.0.1:7660")
final class LimitsCommand extends Command {
  @Override
  protected ExitCode run() {
    LimitStatus status = client().limits();
    print(status, () -> toTable(status).print(out()));
    return ExitCode.OK;
  }

  private static Table toTable(LimitStatus status) {
    Table table = new Table("UPSTREAM", "START", "PER SECOND", "LAST HEARD", "SENT BY THIS NODE");
    for (LimitStatus.Entry entry : status.limits()) {
      table.row(
          entry.upstream(),
          entry.start(),
          entry.perSecond(),
          entry.ageMillis() + " ms ago",
          entry.sent());
    }
    return table;
  }
}
