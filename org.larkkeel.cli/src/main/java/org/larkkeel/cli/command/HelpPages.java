/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import java.io.StringWriter;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionHandlerFilter;
import org.larkkeel.cli.errors.ExitCode;

/**
 * Generates the help as text and as a page of documentation.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class HelpPages {
  private static final String USAGE = "Usage: larkkeel COMMAND [OPTIONS]\n\n";
  private static final String INTRODUCTION =
      """
      # Commands

      `larkkeel` is the operators' command line. It talks to the operator address of any node; the
      change it makes is in force everywhere within seconds. Traffic is steered by labels and selectors
      only. This page is the output of `larkkeel help --markdown`; a test keeps the two equal.

      Tokens are read from a file, never from the command line. Where several servers are named, the
      next is tried if one does not answer; a change is accepted once, however often it is sent.

      In Bash, `. bin/larkkeel-completion.bash` completes commands, kinds and names.

      """;

  private HelpPages() {}

  /**
   * Returns the list of commands and of exit codes.
   *
   * @return the text
   */
  public static String overview() {
    StringBuilder text = new StringBuilder(USAGE);
    for (String name : CommandCatalog.names()) {
      CommandInfo info = CommandCatalog.create(name).info();
      text.append("%-10s%s%n".formatted(name, firstSentence(info.summary())));
    }
    text.append("\nExit codes:\n");
    for (ExitCode code : ExitCode.values()) {
      text.append("%-10s%s%n".formatted(code.code(), code.meaning()));
    }
    return text.append("\nlarkkeel COMMAND --help tells about one command.\n").toString();
  }

  /**
   * Returns the help of one command.
   *
   * @param command the command
   * @return the text
   */
  public static String of(Command command) {
    CmdLineParser parser = CommandParser.parser(command);
    StringWriter text = new StringWriter();
    text.append("Usage: larkkeel ").append(command.info().name());
    parser.printSingleLineUsage(text, null);
    text.append("\n\n").append(command.info().summary()).append("\n\n");
    parser.printUsage(text, null, OptionHandlerFilter.PUBLIC);
    text.append("\nExample: ").append(command.info().example()).append('\n');
    return text.toString().replaceAll("(?m) +$", "");
  }

  /**
   * Returns the reference of all commands.
   *
   * @return a page in Markdown
   */
  public static String reference() {
    StringBuilder page = new StringBuilder(INTRODUCTION);
    page.append("## Exit codes\n\n| code | name | meaning |\n|---|---|---|\n");
    for (ExitCode code : ExitCode.values()) {
      page.append("| %d | %s | %s |%n".formatted(code.code(), code.slug(), code.meaning()));
    }
    for (String name : CommandCatalog.names()) {
      page.append("\n## ").append(name).append("\n\n```\n");
      page.append(of(CommandCatalog.create(name))).append("```\n");
    }
    return page.toString();
  }

  private static String firstSentence(String summary) {
    int end = summary.indexOf(". ");
    return end < 0 ? summary : summary.substring(0, end + 1);
  }
}
