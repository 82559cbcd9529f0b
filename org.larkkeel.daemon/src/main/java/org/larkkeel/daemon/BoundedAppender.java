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
 * Hands lines to another thread and never makes the caller wait.
 *
 * <p>Lines of what went well are bounded by a rate; warnings and errors are left out only when the
 * queue is full. How many were left out is told in a line of its own, at most once a second. Safe
 * for use by several threads.
 *
 * @since 0.1
 */
public final class BoundedAppender extends AsyncAppender {
  private static final int DEFAULT_LINES_PER_SECOND = 150;
  private static final int DEFAULT_BURST = 600;
  private static final long TELL_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final String NAME = BoundedAppender.class.getName();

  private final AtomicLong leftOut = new AtomicLong();
  private final AtomicLong allLeftOut = new AtomicLong();
  private int linesPerSecond = DEFAULT_LINES_PER_SECOND;
  private int burst = DEFAULT_BURST;
  private TokenBucket bucket;
  private long toldAt;

  /** Never blocks and drops nothing by level before the queue is full. */
  public BoundedAppender() {
    setNeverBlock(true);
    setDiscardingThreshold(0);
  }

  /** Sets how many lines of what went well are written a second. */
  public void setLinesPerSecond(int lines) {
    linesPerSecond = lines;
  }

  /** Sets how many of them may come at once. */
  public void setBurst(int lines) {
    burst = lines;
  }

  /** How many lines were left out since the start. */
  public long leftOut() {
    return allLeftOut.get();
  }

  @Override
  public void start() {
    bucket = new TokenBucket(linesPerSecond, burst, System.nanoTime());
    super.start();
  }

  @Override
  protected void append(ILoggingEvent event) {
    if (!isAllowed(event) || getRemainingCapacity() == 0) {
      leftOut.incrementAndGet();
      allLeftOut.incrementAndGet();
    } else {
      super.append(event);
    }
    tellWhatIsLeftOut();
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

  private void tellWhatIsLeftOut() {
    long lines;
    synchronized (this) {
      long now = System.nanoTime();
      if (leftOut.get() == 0 || now - toldAt < TELL_NANOS || getRemainingCapacity() == 0) {
        return;
      }
      toldAt = now;
      lines = leftOut.getAndSet(0);
    }
    Logger logger = ((LoggerContext) getContext()).getLogger(NAME);
    super.append(
        new LoggingEvent(
            NAME, logger, Level.WARN, "event=lines_left_out lines=" + lines, null, null));
  }
}
