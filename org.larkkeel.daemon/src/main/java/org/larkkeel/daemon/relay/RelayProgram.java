/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import ch.qos.logback.classic.Level;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.larkkeel.config.Checked;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/**
 * Runs a relay node as a program: reads its settings, handles signals and returns the exit status.
 *
 * <p>Used by the main thread.
 *
 * @since 0.1
 */
public final class RelayProgram {
  /** The exit status after wrong usage or invalid settings. */
  public static final int USAGE = 2;

  private static final int OK = 0;
  private static final int FAILED = 1;
  private static final String[] STOP_SIGNALS = {"TERM", "INT"};
  private static final String RELOAD_SIGNAL = "HUP";
  private static final Logger log = LoggerFactory.getLogger(RelayProgram.class);

  private RelayProgram() {}

  /**
   * Runs a node until it has stopped.
   *
   * @param path the settings file
   * @param adapter the adapter to the platform
   * @param err the stream to which problems of the settings are printed
   * @return the exit status
   */
  public static int run(String path, RelayAdapter adapter, PrintStream err) {
    return switch (read(path)) {
      case Checked.Invalid<RelayNodeSettings> invalid -> {
        err.println(invalid.problems());
        yield USAGE;
      }
      case Checked.Valid<RelayNodeSettings> valid -> serve(path, valid.value(), adapter);
    };
  }

  private static Checked<RelayNodeSettings> read(String path) {
    try {
      return RelaySettingsReader.read(path, Files.readString(Path.of(path)));
    } catch (IOException e) {
      return RelaySettingsReader.unreadable(path, e);
    }
  }

  private static int serve(String path, RelayNodeSettings settings, RelayAdapter adapter) {
    ((ch.qos.logback.classic.Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME))
        .setLevel(Level.valueOf(settings.logLevel().name()));
    try (RelayNode node = RelayNode.start(settings, adapter)) {
      for (String name : STOP_SIGNALS) {
        Signal.handle(new Signal(name), signal -> stop(node, signal.getName()));
      }
      Signal.handle(new Signal(RELOAD_SIGNAL), signal -> reload(path, settings));
      node.drained().join();
      log.info("event=stopped");
      return OK;
    } catch (Exception e) {
      log.error("event=failed cause=\"{}\"", e.getMessage(), e);
      return FAILED;
    }
  }

  private static void stop(RelayNode node, String signal) {
    log.info("event=signal name={}", signal);
    node.drain();
  }

  /** Logs whether the settings have changed; changes take effect only after a restart. */
  private static void reload(String path, RelayNodeSettings settings) {
    switch (read(path)) {
      case Checked.Invalid<RelayNodeSettings> invalid ->
          log.warn("event=reload outcome=refused problems=\"{}\"", invalid.problems());
      case Checked.Valid<RelayNodeSettings> valid ->
          log.info(
              "event=reload outcome={}",
              valid.value().equals(settings) ? "unchanged" : "kept_until_restart");
    }
  }
}
