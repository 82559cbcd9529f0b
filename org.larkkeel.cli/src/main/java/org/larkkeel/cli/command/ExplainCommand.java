/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import java.util.Optional;
import java.util.stream.Collectors;
import org.kohsuke.args4j.Option;
import org.larkkeel.cli.errors.CommandFailure;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.cli.errors.Messages;
import org.larkkeel.cli.output.Table;
import org.larkkeel.errors.Slugs;
import org.larkkeel.http.operator.ExplainRequest;
import org.larkkeel.http.operator.RouteExplanation;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.WorkspaceName;

/** Explains how a request would be routed. */
@CommandInfo(
    name = "explain",
    summary =
        "Tells which rule and pools would take a request, and why each upstream would or not.",
    example = "larkkeel explain --model telar --workspace pricing --prompt-tokens 12000")
final class ExplainCommand extends Command {
  @Option(name = "--model", metaVar = "MODEL", usage = "the model of a completion")
  private String model;

  @Option(name = "--path", metaVar = "PATH", usage = "the path of a plain call")
  private String path;

  @Option(
      name = "--workspace",
      metaVar = "WORKSPACE",
      required = true,
      usage = "the caller's workspace")
  private String workspace;

  @Option(
      name = "--prompt-tokens",
      metaVar = "N",
      usage = "the length of the prompt; 1000 by default")
  private int promptTokens = ExplainRequest.DEFAULT_PROMPT_TOKENS;

  @Override
  protected ExitCode run() {
    RouteExplanation explanation = client().explain(request());
    print(explanation, () -> printText(explanation));
    return ExitCode.OK;
  }

  private ExplainRequest request() {
    if ((model == null) == (path == null)) {
      throw new CommandFailure(ExitCode.USAGE, Messages.MODEL_OR_PATH);
    }
    try {
      return new ExplainRequest(
          Optional.ofNullable(model).map(ModelName::new),
          Optional.ofNullable(path),
          new WorkspaceName(workspace),
          promptTokens);
    } catch (IllegalArgumentException e) {
      throw new CommandFailure(ExitCode.USAGE, e.getMessage());
    }
  }

  private void printText(RouteExplanation explanation) {
    if (explanation.rule().isEmpty()) {
      out().println(Messages.NO_RULE);
      return;
    }
    out()
        .println(
            Messages.EXPLAINED.formatted(
                explanation.rule(),
                explanation.pools().stream()
                    .map(Object::toString)
                    .collect(Collectors.joining(", ")),
                explanation.predictedWaitMillis(),
                explanation.queued()));
    Table table =
        new Table("UPSTREAM", "ROLE", "VERDICT", "FREE SLOTS", "OUTSTANDING", "PREDICTED MS");
    for (RouteExplanation.Candidate candidate : explanation.candidates()) {
      table.row(
          candidate.upstream(),
          Slugs.of(candidate.role()),
          Slugs.of(candidate.verdict()),
          candidate.freeSlots(),
          candidate.outstanding(),
          "%.1f".formatted(candidate.predictedMillis()));
    }
    table.print(out());
  }
}
