/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.longs;
import static org.quicktheories.generators.SourceDSL.strings;
import static org.testng.Assert.assertEquals;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import org.testng.annotations.Test;

/** Tests of {@link LineEncoder}. */
public class LineEncoderTest {
  private static final long YEAR_2200 = 7_258_118_400_000L;
  private static final List<Level> LEVELS =
      List.of(Level.TRACE, Level.DEBUG, Level.INFO, Level.WARN, Level.ERROR);
  private static final List<String> NAMES =
      List.of("org.larkkeel.relay.Flow", "Flow", "org.larkkeel.Outer$Inner", "a.");

  private static LoggingEvent event(
      LoggerContext context, Level level, long millis, String message, Throwable failure) {
    LoggingEvent event =
        new LoggingEvent("caller", context.getLogger("a.b.C"), level, message, failure, null);
    event.setInstant(Instant.ofEpochMilli(millis));
    return event;
  }

  private static String line(LineEncoder encoder, LoggingEvent event) {
    return new String(encoder.encode(event), StandardCharsets.UTF_8);
  }

  /** The lines must equal those of the Logback pattern that the encoder replaces. */
  public static class EquivalenceToPattern {
    private static final String PATTERN =
        "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX, UTC} level=%level logger=%logger{0} %msg%n";

    private static PatternLayoutEncoder pattern(LoggerContext context) {
      PatternLayoutEncoder encoder = new PatternLayoutEncoder();
      encoder.setContext(context);
      encoder.setCharset(StandardCharsets.UTF_8);
      encoder.setPattern(PATTERN);
      encoder.start();
      return encoder;
    }

    @Test
    public void anyTimeLevelAndMessage() {
      LoggerContext context = new LoggerContext();
      PatternLayoutEncoder pattern = pattern(context);
      LineEncoder encoder = new LineEncoder();
      qt().withFixedSeed(7)
          .forAll(
              longs().between(0, YEAR_2200),
              integers().between(0, LEVELS.size() - 1),
              strings().basicMultilingualPlaneAlphabet().ofLengthBetween(0, 40))
          .checkAssert(
              (millis, level, message) -> {
                LoggingEvent event = event(context, LEVELS.get(level), millis, message, null);
                assertEquals(encoder.encode(event), pattern.encode(event));
              });
    }

    @Test
    public void anyName() {
      LoggerContext context = new LoggerContext();
      PatternLayoutEncoder pattern = pattern(context);
      LineEncoder encoder = new LineEncoder();
      for (String name : NAMES) {
        LoggingEvent event =
            new LoggingEvent("caller", context.getLogger(name), Level.INFO, "m", null, null);
        event.setInstant(Instant.EPOCH);
        assertEquals(encoder.encode(event), pattern.encode(event), name);
      }
    }

    @Test
    public void failuresWithCauses() {
      LoggerContext context = new LoggerContext();
      Exception failure = new IllegalStateException("outer", new RuntimeException("inner"));
      failure.addSuppressed(new IllegalArgumentException("beside"));
      LoggingEvent event = event(context, Level.ERROR, 1, "event=failed", failure);
      assertEquals(new LineEncoder().encode(event), pattern(context).encode(event));
    }
  }

  /** Examples of lines, and dates when the day changes in either direction. */
  public static class Lines {
    @Test
    public void nameTimeLevelAndLogger() {
      LoggingEvent event =
          event(new LoggerContext(), Level.WARN, 1_796_256_000_007L, "event=x id=1", null);
      assertEquals(
          line(new LineEncoder(), event),
          "time=2026-12-03T00:00:00.007Z level=WARN logger=C event=x id=1"
              + System.lineSeparator());
    }

    @Test
    public void datesFollowMidnightAndClockSteppedBack() {
      LoggerContext context = new LoggerContext();
      LineEncoder encoder = new LineEncoder();
      long midnight = 1_796_256_000_000L;
      for (long millis : List.of(midnight, midnight - 1, midnight + 1)) {
        String line = line(encoder, event(context, Level.INFO, millis, "m", null));
        String time = line.substring("time=".length(), line.indexOf(' '));
        assertEquals(Instant.parse(time).toEpochMilli(), millis);
      }
    }
  }
}
