/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.demo;

import ch.qos.logback.classic.Level;
import java.io.PrintStream;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the demo. The exit status is 0 if no request was lost, answered wrongly or run twice and all
 * other checks of the verdict hold, 1 if a check fails, and 2 for invalid options.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Main {
  private static final int FAILED = 1;
  private static final int USAGE = 2;

  private Main() {}

  /**
   * Runs the demo and ends the process.
   *
   * @param args the options
   * @throws Exception if the cluster can not be started or closed
   */
  public static void main(String[] args) throws Exception {
    DemoOptions options = new DemoOptions();
    CmdLineParser parser = new CmdLineParser(options);
    try {
      parser.parseArgument(args);
      options.validate(parser);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      usage(parser, System.err);
      System.exit(USAGE);
    }
    if (options.help()) {
      usage(parser, System.out);
      return;
    }
    setLogLevel(options.verbose());
    boolean passed = new Demo(options, System.out).run();
    System.exit(passed ? 0 : FAILED);
  }

  private static void usage(CmdLineParser parser, PrintStream out) {
    out.println("usage: ./demo [options]");
    parser.printUsage(out);
  }

  /**
   * Sets the log level of the nodes: INFO if verbose, otherwise ERROR so that the progress lines
   * stay readable.
   */
  private static void setLogLevel(boolean verbose) {
    ch.qos.logback.classic.Logger root =
        (ch.qos.logback.classic.Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME);
    root.setLevel(verbose ? Level.INFO : Level.ERROR);
  }
}
