/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.encoder.EncoderBase;
import java.nio.charset.StandardCharsets;
import java.time.LocalDate;

/**
 * Writes a log event as {@code time=... level=... logger=... key=value ...}, with the time in UTC
 * with milliseconds, followed by the stack trace of its exception if there is one.
 *
 * <p>Replaces a Logback pattern, whose parser and converters would have to be loaded, linked and
 * run at each start of a node: see {@link LogConfigurator}. The only state is the formatted date of
 * the previous event; Logback calls the encoder from one thread at a time.
 *
 * @since 0.1
 */
final class LineEncoder extends EncoderBase<ILoggingEvent> {
  private static final int SECOND_MILLIS = 1_000;
  private static final int MINUTE_MILLIS = 60 * SECOND_MILLIS;
  private static final int HOUR_MILLIS = 60 * MINUTE_MILLIS;
  private static final int DAY_MILLIS = 24 * HOUR_MILLIS;
  private static final int TENS = 10;
  private static final int HUNDREDS = 100;

  /** The initial capacity of a line, in characters; enough for most lines. */
  private static final int INITIAL_CHARS = 256;

  private static final byte[] EMPTY = {};

  private long lastDay = Long.MIN_VALUE;
  private String lastDate = "";

  @Override
  public byte[] encode(ILoggingEvent event) {
    StringBuilder line = new StringBuilder(INITIAL_CHARS).append("time=");
    appendTime(line, event.getTimeStamp());
    line.append(" level=").append(event.getLevel());
    line.append(" logger=").append(simpleName(event.getLoggerName()));
    line.append(' ').append(event.getFormattedMessage()).append(System.lineSeparator());
    IThrowableProxy failure = event.getThrowableProxy();
    if (failure != null) {
      line.append(ThrowableProxyUtil.asString(failure));
    }
    return line.toString().getBytes(StandardCharsets.UTF_8);
  }

  private void appendTime(StringBuilder line, long millis) {
    long today = Math.floorDiv(millis, DAY_MILLIS);
    if (today != lastDay) {
      lastDate = LocalDate.ofEpochDay(today).toString();
      lastDay = today;
    }
    int millisOfDay = Math.floorMod(millis, DAY_MILLIS);
    line.append(lastDate).append('T');
    appendDigits(line, millisOfDay / HOUR_MILLIS, TENS);
    line.append(':');
    appendDigits(line, millisOfDay / MINUTE_MILLIS % 60, TENS);
    line.append(':');
    appendDigits(line, millisOfDay / SECOND_MILLIS % 60, TENS);
    line.append('.');
    appendDigits(line, millisOfDay % SECOND_MILLIS, HUNDREDS);
    line.append('Z');
  }

  /** Appends the decimal digits of a number, zero-padded, from the highest unit down to ones. */
  private static void appendDigits(StringBuilder line, int number, int highestUnit) {
    for (int unit = highestUnit; unit > 0; unit /= 10) {
      line.append((char) ('0' + number / unit % 10));
    }
  }

  private static String simpleName(String logger) {
    return logger.substring(logger.lastIndexOf('.') + 1);
  }

  @Override
  public byte[] headerBytes() {
    return EMPTY;
  }

  @Override
  public byte[] footerBytes() {
    return EMPTY;
  }
}
