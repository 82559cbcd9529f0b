/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import com.google.common.collect.ImmutableList;
import java.util.UUID;
import java.util.function.UnaryOperator;
import org.kohsuke.args4j.Option;
import org.larkkeel.cli.errors.CommandFailure;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.cli.errors.Messages;
import org.larkkeel.config.Change;
import org.larkkeel.config.Operation;
import org.larkkeel.config.Problems;
import org.larkkeel.http.operator.DryRun;
import org.larkkeel.http.operator.ProblemDocument;
import org.larkkeel.http.operator.ProposalOutcome;
import org.larkkeel.lib.ChangeId;
import org.larkkeel.lib.Revision;

/** A command that changes the configuration. Not safe for use by several threads. */
abstract class ChangeCommand extends Command {
  @Option(name = "--reason", metaVar = "TEXT", usage = "why, for the audit trail")
  private String reason = "";

  @Option(name = "--dry-run", usage = "only check the change")
  private boolean dryRun;

  /** Proposes the operations as one change and prints the outcome. */
  final ExitCode propose(Revision base, ImmutableList<Operation> operations) {
    return propose(base, operations, UnaryOperator.identity());
  }

  final ExitCode propose(
      Revision base, ImmutableList<Operation> operations, UnaryOperator<Problems> locate) {
    if (operations.isEmpty()) {
      out().println(Messages.UNCHANGED.formatted(base.value()));
      return ExitCode.OK;
    }
    ChangeId id = new ChangeId(UUID.randomUUID().toString());
    Change change = new Change(id, "", 0, reason, base, operations);
    ProposalOutcome outcome = client().propose(change, dryRun ? DryRun.YES : DryRun.NO);
    return switch (outcome) {
      case ProposalOutcome.Accepted accepted -> printAccepted(accepted, locate);
      case ProposalOutcome.Conflicting conflict ->
          throw new CommandFailure(ExitCode.CONFLICT, ProblemDocument.of(conflict).detail());
      case ProposalOutcome.Refused refused -> printProblems(locate.apply(refused.problems()));
    };
  }

  private ExitCode printAccepted(
      ProposalOutcome.Accepted accepted, UnaryOperator<Problems> locate) {
    locate.apply(accepted.warnings()).all().forEach(warning -> err().println(warning));
    print(accepted, () -> out().println(acceptedMessage(accepted)));
    return ExitCode.OK;
  }

  private String acceptedMessage(ProposalOutcome.Accepted accepted) {
    String message = dryRun ? Messages.WOULD_ACCEPT : Messages.ACCEPTED;
    return message.formatted(accepted.revision().value());
  }

  final ExitCode printProblems(Problems problems) {
    problems.all().forEach(problem -> err().println(problem));
    return ExitCode.INVALID;
  }
}
