/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import ch.qos.logback.core.status.Status;

/**
 * Configures logging of the process: one line of key=value pairs per event to standard output, as
 * hosts have no disks, written asynchronously with a rate limit ({@link BoundedAppender}).
 *
 * <p>Configured in code rather than in Logback's XML: without the XML parser and the pattern
 * converters a start loads some 650 classes fewer, and a restarting node serves no requests until
 * it is up. A file named by {@code -Dlogback.configurationFile} replaces this configuration.
 * Logback finds the class by its entry under {@code META-INF/services} and calls it once.
 *
 * @since 0.1
 */
public final class LogConfigurator extends ContextAwareBase implements Configurator {
  /** Logback's system property that names a configuration file. */
  static final String FILE_PROPERTY = "logback.configurationFile";

  private static final int QUEUE_LINES = 2048;
  private static final int LINES_PER_SECOND = 150;
  private static final int BURST_LINES = 600;
  private static final String[] LIBRARY_LOGGERS = {"io.undertow", "org.jboss", "org.xnio"};

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    if (System.getProperty(FILE_PROPERTY) != null) {
      return ExecutionStatus.INVOKE_NEXT_IF_ANY;
    }
    context.getStatusManager().add(LogConfigurator::printStatus);
    for (String library : LIBRARY_LOGGERS) {
      context.getLogger(library).setLevel(Level.WARN);
    }
    Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.INFO);
    root.addAppender(boundedAppender(context));
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  /**
   * Prints Logback's internal warnings and errors to standard error.
   *
   * <p>Without a status listener Logback would load its own printer at the start, and all time
   * zones with it.
   */
  private static void printStatus(Status status) {
    if (status.getEffectiveLevel() >= Status.WARN) {
      System.err.println("larkkeel: the log: " + status.getMessage());
    }
  }

  private static BoundedAppender boundedAppender(LoggerContext context) {
    BoundedAppender bounded = new BoundedAppender();
    bounded.setContext(context);
    bounded.setName("BOUNDED");
    bounded.setQueueSize(QUEUE_LINES);
    bounded.setLinesPerSecond(LINES_PER_SECOND);
    bounded.setBurst(BURST_LINES);
    bounded.addAppender(consoleAppender(context));
    bounded.start();
    return bounded;
  }

  private static ConsoleAppender<ILoggingEvent> consoleAppender(LoggerContext context) {
    LineEncoder encoder = new LineEncoder();
    encoder.setContext(context);
    encoder.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setName("OUT");
    console.setEncoder(encoder);
    console.start();
    return console;
  }
}
