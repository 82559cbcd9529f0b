/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import ch.qos.logback.classic.Level;
import com.google.common.io.Resources;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.larkkeel.config.Checked;
import org.larkkeel.daemon.settings.Settings;
import org.larkkeel.daemon.settings.SettingsReader;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The process {@code larkkeeld}. Exit status: 0 after a graceful stop, 1 after a failure, 2 for
 * invalid options or settings.
 *
 * <p>Used by one thread.
 *
 * @since 0.1
 */
public final class Main {
  private static final Logger log = LoggerFactory.getLogger(Main.class);
  private static final int OK = 0;
  private static final int FAILED = 1;
  private static final int USAGE = 2;
  private static final String DEFAULTS = "default-settings.json";

  @Option(name = "--config", metaVar = "FILE", usage = "the settings, JSON with comments")
  private File config;

  @Option(name = "--check-config", usage = "check the settings and end")
  private boolean check;

  @Option(name = "--print-default-config", usage = "print every setting with its explanation")
  private boolean print;

  @Option(name = "--help", aliases = "-h", help = true, usage = "print this and end")
  private boolean help;

  private final PrintStream out;
  private final PrintStream err;

  private Main(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /**
   * Runs the daemon until it is stopped, then exits the process.
   *
   * @param args the options
   */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err));
  }

  /**
   * Runs the daemon until it is stopped, or does what the options ask for instead.
   *
   * @param args the options
   * @param out receives the requested output
   * @param err receives errors and usage
   * @return the exit status
   */
  public static int run(String[] args, PrintStream out, PrintStream err) {
    Main main = new Main(out, err);
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      err.println("larkkeeld: " + e.getMessage());
      main.usage(parser, err);
      return USAGE;
    }
    return main.run(parser);
  }

  private int run(CmdLineParser parser) {
    if (help) {
      usage(parser, out);
      return OK;
    }
    if (print) {
      return printDefaults();
    }
    if (config == null) {
      err.println("larkkeeld: --config is missing: name the settings file");
      usage(parser, err);
      return USAGE;
    }
    return runConfigured();
  }

  private void usage(CmdLineParser parser, PrintStream stream) {
    stream.println("usage: larkkeeld --config FILE [--check-config]");
    stream.println("       larkkeeld --print-default-config");
    parser.printUsage(stream);
  }

  private int printDefaults() {
    try {
      out.print(
          Resources.toString(
              Resources.getResource(Settings.class, DEFAULTS), StandardCharsets.UTF_8));
      return OK;
    } catch (IOException e) {
      throw new IllegalStateException("the bundled resource " + DEFAULTS + " is not readable", e);
    }
  }

  private int runConfigured() {
    String text;
    try {
      text = Files.readString(config.toPath());
    } catch (IOException e) {
      err.println(
          "larkkeeld: the settings file "
              + config
              + " cannot be read as UTF-8 text: "
              + e
              + "; name a file that exists and that this user may read");
      return USAGE;
    }
    return switch (SettingsReader.read(config.getPath(), text)) {
      case Checked.Invalid<Settings> invalid -> {
        err.println(invalid.problems());
        yield USAGE;
      }
      case Checked.Valid<Settings> valid -> check ? reportValid() : serve(valid.value());
    };
  }

  private int reportValid() {
    out.println(config + ": ok");
    return OK;
  }

  private static int serve(Settings settings) {
    ((ch.qos.logback.classic.Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME))
        .setLevel(Level.valueOf(settings.logLevel().name()));
    try {
      Daemon daemon = Daemon.start(settings);
      return new Shutdown(daemon).awaitEnd();
    } catch (IOException | RuntimeException e) {
      log.error("event=start_failed cause=\"{}\"", e.getMessage(), e);
      return FAILED;
    }
  }
}
