/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import com.google.common.collect.ImmutableList;
import org.kohsuke.args4j.Argument;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.ObjectKind;
import org.larkkeel.config.Operation;

/** Deletes one object. */
@CommandInfo(
    name = "delete",
    summary = "Deletes one object. Work in progress at a deleted upstream comes to its end.",
    example = "larkkeel delete rule price-notes --reason \"merged into telar\"")
final class DeleteCommand extends ChangeCommand {
  @Argument(
      index = 0,
      metaVar = "KIND",
      required = true,
      usage = "upstream, pool, rule or workspace")
  private String kind;

  @Argument(index = 1, metaVar = "NAME", required = true, usage = "the name of the object")
  private String name;

  @Override
  protected ExitCode run() {
    ObjectKind objectKind = Arguments.parseKind(kind);
    Configuration current = client().configuration();
    return propose(
        current.revision(),
        ImmutableList.of(
            new Operation.Delete(Arguments.findObject(current, objectKind, name).id())));
  }
}
