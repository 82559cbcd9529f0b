/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

/** Tests of {@link BoundedAppender}. */
public class BoundedAppenderTest {
  private static final int LINES = 5_000;
  private static final int QUEUE = 500;

  /** Blocks until it is released, then records the lines. */
  private static final class BlockableAppender extends AppenderBase<ILoggingEvent> {
    private final List<String> lines = new CopyOnWriteArrayList<>();
    private final CountDownLatch released;

    BlockableAppender(CountDownLatch released) {
      this.released = released;
    }

    @Override
    protected void append(ILoggingEvent event) {
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      lines.add(event.getLevel() + " " + event.getFormattedMessage());
    }
  }

  private static LoggerContext context() {
    LoggerContext context = new LoggerContext();
    context.setMDCAdapter(new LogbackMDCAdapter());
    return context;
  }

  private static BoundedAppender start(LoggerContext context, BlockableAppender sink) {
    sink.setContext(context);
    sink.start();
    BoundedAppender bounded = new BoundedAppender();
    bounded.setContext(context);
    bounded.setQueueSize(QUEUE);
    bounded.setLinesPerSecond(1);
    bounded.setBurst(100);
    bounded.addAppender(sink);
    bounded.start();
    Logger logger = context.getLogger("test");
    logger.setLevel(Level.INFO);
    logger.addAppender(bounded);
    return bounded;
  }

  /** More lines than the rate limit or the queue allows. */
  public static class Flood {
    @Test
    public void dropsInfoLinesAboveRateAndReportsTheirNumber() {
      LoggerContext context = context();
      BlockableAppender sink = new BlockableAppender(new CountDownLatch(0));
      BoundedAppender bounded = start(context, sink);
      Logger logger = context.getLogger("test");
      for (int i = 0; i < LINES; i++) {
        logger.info("event=good i={}", i);
      }
      for (int i = 0; i < 100; i++) {
        logger.warn("event=bad i={}", i);
      }
      bounded.stop();
      long good = sink.lines.stream().filter(l -> l.contains("event=good")).count();
      long bad = sink.lines.stream().filter(l -> l.contains("event=bad")).count();
      assertTrue(good >= 100 && good < 200, "good " + good);
      assertEquals(bad, 100);
      assertEquals(bounded.droppedLines(), LINES - good);
      assertTrue(sink.lines.stream().anyMatch(l -> l.contains("event=lines_left_out")));
    }

    @Test
    public void neverWaitsForBlockedAppender() {
      LoggerContext context = context();
      CountDownLatch released = new CountDownLatch(1);
      BlockableAppender sink = new BlockableAppender(released);
      BoundedAppender bounded = start(context, sink);
      Logger logger = context.getLogger("test");
      for (int i = 0; i < LINES; i++) {
        logger.warn("event=bad i={}", i);
      }
      // Up to QUEUE lines are queued, and as many may be drained by the blocked worker thread.
      assertTrue(
          bounded.droppedLines() >= LINES - 2 * QUEUE - 1, "dropped " + bounded.droppedLines());
      released.countDown();
      bounded.stop();
    }
  }
}
