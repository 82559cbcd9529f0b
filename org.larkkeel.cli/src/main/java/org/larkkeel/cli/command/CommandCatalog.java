/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import java.util.function.Supplier;
import org.larkkeel.cli.errors.CommandFailure;
import org.larkkeel.cli.errors.ExitCode;
import org.larkkeel.cli.errors.Messages;
import org.larkkeel.config.NearestName;

/**
 * The subcommands by name.
 *
 * <p>Immutable and safe for use by several threads; the commands that it creates are not.
 *
 * @since 0.1
 */
public final class CommandCatalog {
  private static final ImmutableSortedMap<String, Supplier<Command>> COMMANDS = commands();

  private CommandCatalog() {}

  /**
   * Returns the names of all commands.
   *
   * @return the names in alphabetical order
   */
  public static ImmutableList<String> names() {
    return COMMANDS.keySet().asList();
  }

  /**
   * Creates a command.
   *
   * @param name the name of the command
   * @return a new command, whose arguments are not parsed yet
   * @throws CommandFailure of {@link ExitCode#USAGE} if there is none of that name
   */
  public static Command create(String name) {
    Supplier<Command> supplier = COMMANDS.get(name);
    if (supplier == null) {
      String remedy =
          NearestName.find(name, names())
              .map(Messages.DID_YOU_MEAN::formatted)
              .orElse(Messages.SEE_HELP);
      throw new CommandFailure(ExitCode.USAGE, Messages.UNKNOWN_COMMAND.formatted(name, remedy));
    }
    return supplier.get();
  }

  private static ImmutableSortedMap<String, Supplier<Command>> commands() {
    ImmutableList<Supplier<Command>> suppliers =
        ImmutableList.of(
            ApplyCommand::new,
            AuditCommand::new,
            CompleteCommand::new,
            DeleteCommand::new,
            DescribeCommand::new,
            DiffCommand::new,
            DrainCommand::new,
            ExplainCommand::new,
            ExplainLogCommand::new,
            GetCommand::new,
            HelpCommand::new,
            LabelCommand::new,
            LimitsCommand::new,
            QuarantineCommand::new,
            RolloutCommand::new,
            StatusCommand::new);
    ImmutableSortedMap.Builder<String, Supplier<Command>> byName =
        ImmutableSortedMap.naturalOrder();
    suppliers.forEach(supplier -> byName.put(supplier.get().info().name(), supplier));
    return byName.buildOrThrow();
  }
}
