/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.kohsuke.args4j.Option;
import org.larkkeel.cli.errors.CommandFailure;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.cli.errors.Messages;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.ObjectKind;
import org.larkkeel.config.Upstream;
import org.larkkeel.http.operator.NodeStatus;

/** Takes upstreams out of service by labelling them as leaving, or drains one node. */
@CommandInfo(
    name = "drain",
    summary =
        "Takes upstreams out of service by setting the label phase=leaving: they get no new work,"
            + " and work in progress comes to its end. Or shuts down the one node that answers,"
            + " which cuts no request in progress.",
    example = "larkkeel drain -l \"dc=armenia, gen=old\" --reason \"rack maintenance\"")
final class DrainCommand extends ChangeCommand {
  @Option(
      name = "-l",
      aliases = "--selector",
      metaVar = "SELECTOR",
      usage = "the upstreams whose labels it matches")
  private String selector;

  @Option(name = "--undo", usage = "bring the selected upstreams back into service")
  private boolean undo;

  @Option(
      name = "--this-node",
      usage = "shut down the node that --server names, before its host is replaced")
  private boolean thisNode;

  @Override
  protected ExitCode run() {
    if ((selector == null) != thisNode) {
      throw new CommandFailure(ExitCode.USAGE, Messages.SELECTOR_OR_NODE);
    }
    return thisNode ? drainNode() : drainUpstreams();
  }

  private ExitCode drainNode() {
    if (connection().servers(environment()).size() != 1) {
      throw new CommandFailure(ExitCode.USAGE, Messages.ONE_SERVER);
    }
    NodeStatus status = client().drain();
    print(status, () -> out().println(Messages.DRAINING.formatted(status.host())));
    return ExitCode.OK;
  }

  private ExitCode drainUpstreams() {
    LabelChange change =
        undo
            ? LabelChange.removing(Upstream.PHASE_LABEL)
            : LabelChange.setting(Upstream.PHASE_LABEL, Upstream.PHASE_LEAVING);
    Configuration current = client().configuration();
    return propose(
        current.revision(),
        Arguments.selectObjects(
                current, ObjectKind.UPSTREAM, Optional.empty(), Optional.of(selector))
            .stream()
            .flatMap(upstream -> change.operationFor(upstream).stream())
            .collect(ImmutableList.toImmutableList()));
  }
}
