/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.cli.errors.Messages;
import org.larkkeel.cli.output.Table;
import org.larkkeel.errors.Slugs;
import org.larkkeel.http.operator.NodeStatus;

/** Shows the state of a node and of the upstreams as it sees them. */
@CommandInfo(
    name = "status",
    summary = "Shows the state of the node that answers, and the upstreams as it sees them.",
    example = "larkkeel status")
final class StatusCommand extends Command {
  @Override
  protected ExitCode run() {
    NodeStatus status = client().status();
    print(status, () -> printText(status));
    return ExitCode.OK;
  }

  private void printText(NodeStatus status) {
    out()
        .println(
            Messages.NODE_STATUS.formatted(
                status.host(),
                status.dataCentre(),
                Slugs.of(status.phase()),
                status.revision().value(),
                Slugs.of(status.store()),
                status.liveNodes(),
                status.requests(),
                status.queued()));
    Table table =
        new Table(
            "UPSTREAM", "PHASE", "SLOTS", "FREE", "OUTSTANDING", "PREFILL TOKENS/S", "MS/TOKEN");
    for (NodeStatus.UpstreamStatus upstream : status.upstreams()) {
      table.row(
          upstream.name(),
          Slugs.of(upstream.phase()),
          upstream.slots(),
          upstream.freeSlots(),
          upstream.outstanding(),
          rateText(upstream.prefillTokensPerSecond()),
          rateText(upstream.decodeMillisPerToken()));
    }
    table.print(out());
  }

  private static String rateText(double value) {
    return value == 0 ? "" : "%.1f".formatted(value);
  }
}
