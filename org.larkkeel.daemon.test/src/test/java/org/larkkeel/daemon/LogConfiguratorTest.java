/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus;
import ch.qos.logback.core.status.InfoStatus;
import ch.qos.logback.core.status.WarnStatus;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ServiceLoader;
import org.testng.annotations.Test;

/** Tests of {@link LogConfigurator}. */
@Test(singleThreaded = true)
public class LogConfiguratorTest {
  private static ExecutionStatus configure(LoggerContext context) {
    LogConfigurator configurator = new LogConfigurator();
    configurator.setContext(context);
    return configurator.configure(context);
  }

  /** Without a configuration file: {@link LogConfigurator} sets up the log. */
  public static class WithoutFile {
    @Test
    public void isFoundByLogback() {
      boolean found =
          ServiceLoader.load(Configurator.class).stream()
              .anyMatch(p -> p.type().equals(LogConfigurator.class));
      assertTrue(found);
    }

    @Test
    public void addsBoundedAppenderAndEndsConfiguration() {
      LoggerContext context = new LoggerContext();
      assertEquals(configure(context), ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY);
      Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
      assertEquals(root.getLevel(), Level.INFO);
      BoundedAppender bounded = (BoundedAppender) root.getAppender("BOUNDED");
      assertTrue(bounded.isStarted());
      assertTrue(bounded.isNeverBlock());
      assertTrue(bounded.getAppender("OUT").isStarted());
      context.stop();
    }

    @Test
    public void printsLogbackWarningsToStandardError() {
      LoggerContext context = new LoggerContext();
      configure(context);
      PrintStream before = System.err;
      ByteArrayOutputStream err = new ByteArrayOutputStream();
      System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
      try {
        context.getStatusManager().add(new InfoStatus("started", this));
        context.getStatusManager().add(new WarnStatus("queue is full", this));
      } finally {
        System.setErr(before);
        context.stop();
      }
      assertEquals(
          err.toString(StandardCharsets.UTF_8),
          "larkkeel: the log: queue is full" + System.lineSeparator());
    }

    @Test
    public void setsLibrariesToWarn() {
      LoggerContext context = new LoggerContext();
      configure(context);
      assertFalse(context.getLogger("io.undertow.request").isInfoEnabled());
      assertFalse(context.getLogger("org.xnio.nio").isInfoEnabled());
      assertTrue(context.getLogger("org.larkkeel.relay").isInfoEnabled());
      context.stop();
    }
  }

  /** With a configuration file named by the operator. */
  public static class WithFile {
    @Test
    public void leavesConfigurationToFile() {
      LoggerContext context = new LoggerContext();
      String before = System.getProperty(LogConfigurator.FILE_PROPERTY);
      System.setProperty(LogConfigurator.FILE_PROPERTY, "a.xml");
      try {
        assertEquals(configure(context), ExecutionStatus.INVOKE_NEXT_IF_ANY);
      } finally {
        if (before == null) {
          System.clearProperty(LogConfigurator.FILE_PROPERTY);
        } else {
          System.setProperty(LogConfigurator.FILE_PROPERTY, before);
        }
      }
      assertFalse(context.getLogger(Logger.ROOT_LOGGER_NAME).iteratorForAppenders().hasNext());
    }
  }
}
