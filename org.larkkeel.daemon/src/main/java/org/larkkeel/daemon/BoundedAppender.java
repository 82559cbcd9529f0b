/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.larkkeel.lib.TokenBucket;

/**
 * An asynchronous appender with a rate limit; the thread that logs never blocks.
 *
 * <p>Events below {@link Level#WARN} are limited by a token bucket; warnings and errors are dropped
 * only when the queue is full. The number of dropped lines is logged as {@code
 * event=lines_left_out}, at most once a second. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class BoundedAppender extends AsyncAppender {
  private static final int DEFAULT_LINES_PER_SECOND = 150;
  private static final int DEFAULT_BURST = 600;
  private static final long REPORT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final String NAME = BoundedAppender.class.getName();

  private final AtomicLong droppedSinceReport = new AtomicLong();
  private final AtomicLong totalDropped = new AtomicLong();
  private int linesPerSecond = DEFAULT_LINES_PER_SECOND;
  private int burst = DEFAULT_BURST;
  private TokenBucket bucket;
  private long lastReportNanos;

  /** Creates an appender that never blocks and drops nothing by level until the queue is full. */
  public BoundedAppender() {
    setNeverBlock(true);
    setDiscardingThreshold(0);
  }

  /** Sets the rate of events below {@link Level#WARN}, in lines per second. */
  public void setLinesPerSecond(int lines) {
    linesPerSecond = lines;
  }

  /** Sets the burst of events below {@link Level#WARN}, in lines. */
  public void setBurst(int lines) {
    burst = lines;
  }

  /** Returns the number of lines dropped since the appender was created. */
  public long droppedLines() {
    return totalDropped.get();
  }

  @Override
  public void start() {
    bucket = new TokenBucket(linesPerSecond, burst, System.nanoTime());
    super.start();
  }

  @Override
  protected void append(ILoggingEvent event) {
    if (!isAllowed(event) || getRemainingCapacity() == 0) {
      droppedSinceReport.incrementAndGet();
      totalDropped.incrementAndGet();
    } else {
      super.append(event);
    }
    reportDroppedLines();
  }

  private synchronized boolean isAllowed(ILoggingEvent event) {
    if (event.getLevel().isGreaterOrEqual(Level.WARN)) {
      return true;
    }
    if (bucket.level(System.nanoTime()) < 1) {
      return false;
    }
    bucket.take(1);
    return true;
  }

  private void reportDroppedLines() {
    long lines;
    synchronized (this) {
      long now = System.nanoTime();
      if (droppedSinceReport.get() == 0
          || now - lastReportNanos < REPORT_INTERVAL_NANOS
          || getRemainingCapacity() == 0) {
        return;
      }
      lastReportNanos = now;
      lines = droppedSinceReport.getAndSet(0);
    }
    Logger logger = ((LoggerContext) getContext()).getLogger(NAME);
    super.append(
        new LoggingEvent(
            NAME, logger, Level.WARN, "event=lines_left_out lines=" + lines, null, null));
  }
}
