/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import java.time.Duration;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.larkkeel.cli.errors.CommandFailure;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.cli.errors.Messages;
import org.larkkeel.cli.output.Table;
import org.larkkeel.http.operator.RolloutStatus;
import org.larkkeel.lib.Revision;

/** Shows on which nodes a revision is in force. */
@CommandInfo(
    name = "rollout",
    summary =
        "Tells on which nodes a revision is in force, and exits with 8 if some node lacks it.",
    example = "larkkeel rollout status --wait --timeout 11")
final class RolloutCommand extends Command {
  private static final String STATUS_ACTION = "status";
  private static final Duration POLL_INTERVAL = Duration.ofMillis(250);

  @Argument(index = 0, metaVar = "status", required = true, usage = "the action")
  private String action;

  @Option(name = "--revision", metaVar = "N", usage = "the revision; the newest by default")
  private long revision = Revision.NONE.value();

  @Option(name = "--wait", usage = "wait until it is in force everywhere, or --timeout is over")
  private boolean wait;

  @Override
  protected ExitCode run() {
    if (!action.equals(STATUS_ACTION)) {
      throw new CommandFailure(ExitCode.USAGE, Messages.ROLLOUT_ACTION.formatted(action));
    }
    RolloutStatus status = wait ? awaitCompletion() : client().rollout(new Revision(revision));
    print(status, () -> printText(status));
    return status.isComplete() ? ExitCode.OK : ExitCode.PENDING;
  }

  private RolloutStatus awaitCompletion() {
    long startNanos = System.nanoTime();
    long timeoutNanos = connection().timeout().toNanos();
    RolloutStatus status = client().rollout(new Revision(revision));
    while (!status.isComplete() && System.nanoTime() - startNanos < timeoutNanos) {
      sleepUntilNextPoll();
      status = client().rollout(status.revision());
    }
    return status;
  }

  private static void sleepUntilNextPoll() {
    try {
      Thread.sleep(POLL_INTERVAL);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandFailure(ExitCode.FAILURE, e.toString());
    }
  }

  private void printText(RolloutStatus status) {
    out()
        .println(
            Messages.ROLLOUT.formatted(
                status.revision().value(), status.inForce(), status.nodes()));
    if (!status.behind().isEmpty()) {
      Table table = new Table("NODE BEHIND", "REVISION");
      status.behind().forEach(node -> table.row(node.host(), node.revision()));
      table.print(out());
    }
  }
}
