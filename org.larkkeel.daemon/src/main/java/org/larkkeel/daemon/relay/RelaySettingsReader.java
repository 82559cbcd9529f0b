/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import org.larkkeel.config.Checked;
import org.larkkeel.config.FieldReader;
import org.larkkeel.config.JsonPath;
import org.larkkeel.config.Position;
import org.larkkeel.config.ProblemCollector;
import org.larkkeel.config.Severity;
import org.larkkeel.daemon.settings.LogLevel;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.quota.QuotaTolerance;
import org.larkkeel.relay.RelaySettings;

/**
 * Reads the settings of a relay node, in JSON with comments.
 *
 * <p>Stateless and thread-safe.
 *
 * @since 0.1
 */
public final class RelaySettingsReader {
  /** The maximum time until a node receives a change of the discovery list. */
  private static final long REMOVAL_DELAY_MILLIS = 300;

  private static final String ADDRESS_REMEDY = "write an IP number and a port, as 10.0.0.1:8080";
  private static final String SEEDS_REMEDY =
      "write IP numbers with ports, separated by commas, as 10.0.0.1:8082,10.0.0.2:8082";
  private static final String NUMBER_REMEDY = "write a number of at least 0, in quotes";
  private static final String SECONDS_REMEDY = "write seconds above 0, in quotes";
  private static final String NAME_REMEDY =
      "use letters, digits and . _ / -, beginning and ending with a letter or a digit";
  private static final long HOUR_MILLIS = Duration.ofHours(1).toMillis();
  private static final int MAX_NODES = 10_000;
  private static final double NANOS_PER_SECOND = 1e9;

  private RelaySettingsReader() {}

  /**
   * Reads settings.
   *
   * @param source the name of the text in messages
   * @param text the settings
   */
  public static Checked<RelayNodeSettings> read(String source, String text) {
    ProblemCollector problems = new ProblemCollector(source, Severity.ERROR);
    RelayNodeSettings settings =
        FieldReader.document(text, RelaySettingsKeys.TOP, problems)
            .map(RelaySettingsReader::settings)
            .orElse(null);
    return Checked.of(settings, problems.build());
  }

  /** Returns the problem of a file that can not be read. */
  static Checked<RelayNodeSettings> unreadable(String source, IOException cause) {
    ProblemCollector problems = new ProblemCollector(source, Severity.ERROR);
    problems.addError(
        Position.NONE,
        JsonPath.ROOT,
        "",
        "the file can not be read as UTF-8 text: " + cause,
        "name a file that exists and that this user may read");
    return Checked.of(null, problems.build());
  }

  private static RelayNodeSettings settings(FieldReader top) {
    HostName host = required(top, RelaySettingsKeys.HOST, HostName::new, NAME_REMEDY);
    DataCentreName dataCentre =
        required(top, RelaySettingsKeys.DATA_CENTRE, DataCentreName::new, NAME_REMEDY);
    FieldReader listeners = top.child(RelaySettingsKeys.LISTENERS, RelaySettingsKeys.IN_LISTENERS);
    FieldReader store = top.child(RelaySettingsKeys.STORE, RelaySettingsKeys.IN_STORE);
    FieldReader stop = top.child(RelaySettingsKeys.STOP, RelaySettingsKeys.IN_STOP);
    return new RelayNodeSettings(
        host,
        dataCentre,
        required(listeners, RelaySettingsKeys.CALLER, RelaySettingsReader::address, ADDRESS_REMEDY),
        required(
            listeners, RelaySettingsKeys.READINESS, RelaySettingsReader::address, ADDRESS_REMEDY),
        required(
            listeners, RelaySettingsKeys.METRICS, RelaySettingsReader::address, ADDRESS_REMEDY),
        required(listeners, RelaySettingsKeys.PEER, RelaySettingsReader::address, ADDRESS_REMEDY),
        top.parsed(RelaySettingsKeys.SEEDS, RelaySettingsReader::addresses, SEEDS_REMEDY)
            .orElse(ImmutableList.of()),
        required(
            store,
            RelaySettingsKeys.ADDRESS,
            text -> URI.create("http://" + checkedAddress(text)),
            ADDRESS_REMEDY),
        Duration.ofMillis(
            store.wholeNumber(RelaySettingsKeys.TIMEOUT_MILLIS, 1, HOUR_MILLIS, 1_000)),
        Duration.ofMillis(
            store.wholeNumber(RelaySettingsKeys.WATCH_MILLIS, 1, HOUR_MILLIS, 10_000)),
        router(top, dataCentre, host),
        number(top, RelaySettingsKeys.PREFILL_SHARE, 0),
        (int) top.wholeNumber(RelaySettingsKeys.KEEPER_FROM_NODES, 2, MAX_NODES, 16),
        Duration.ofMillis(stop.wholeNumber(RelaySettingsKeys.LEAVE_MILLIS, 0, HOUR_MILLIS, 3_000)),
        seconds(stop, RelaySettingsKeys.GRACE_SECONDS, Duration.ofSeconds(8)),
        top.choice(RelaySettingsKeys.LOG_LEVEL, LogLevel.class, LogLevel.INFO));
  }

  private static RelaySettings router(FieldReader top, DataCentreName dataCentre, HostName host) {
    FieldReader repeats = top.child(RelaySettingsKeys.REPEATS, RelaySettingsKeys.IN_REPEATS);
    return new RelaySettings(
        dataCentre,
        number(repeats, RelaySettingsKeys.SHARE, 0.1),
        number(repeats, RelaySettingsKeys.SLACK, 20),
        seconds(repeats, RelaySettingsKeys.WINDOW_SECONDS, Duration.ofSeconds(10)).toNanos(),
        (int) repeats.wholeNumber(RelaySettingsKeys.NODES, 1, MAX_NODES, 1),
        (int) top.wholeNumber(RelaySettingsKeys.STAGE_TOKENS, 1, Integer.MAX_VALUE, 512),
        missingTime(top).toNanos(),
        host == null ? 0 : host.value().hashCode(),
        tolerance(top));
  }

  private static QuotaTolerance tolerance(FieldReader top) {
    FieldReader quotas = top.child(RelaySettingsKeys.QUOTAS, RelaySettingsKeys.IN_QUOTAS);
    return new QuotaTolerance(
        seconds(quotas, RelaySettingsKeys.WINDOW_SECONDS, Duration.ofSeconds(1)).toNanos()
            / NANOS_PER_SECOND,
        number(quotas, RelaySettingsKeys.SHARE, 0),
        number(quotas, RelaySettingsKeys.SLACK, 0));
  }

  /**
   * Returns the time for which an upstream is used after this node has received its removal from
   * the discovery list: the configured time less the time that the removal may take to arrive.
   */
  private static Duration missingTime(FieldReader top) {
    long millis = top.wholeNumber(RelaySettingsKeys.MISSING_MILLIS, 0, HOUR_MILLIS, 1_500);
    return Duration.ofMillis(Math.max(0, millis - REMOVAL_DELAY_MILLIS));
  }

  private static <T> T required(
      FieldReader fields, String key, Function<String, T> parser, String remedy) {
    if (fields.requiredText(key, remedy).isEmpty()) {
      return null;
    }
    return fields.parsed(key, parser, remedy).orElse(null);
  }

  private static double number(FieldReader fields, String key, double defaultValue) {
    return fields.parsed(key, RelaySettingsReader::nonNegative, NUMBER_REMEDY).orElse(defaultValue);
  }

  private static Duration seconds(FieldReader fields, String key, Duration defaultValue) {
    Optional<Double> read =
        fields.parsed(
            key,
            text -> {
              double value = nonNegative(text);
              if (value == 0) {
                throw new IllegalArgumentException("0");
              }
              return value;
            },
            SECONDS_REMEDY);
    return read.map(s -> Duration.ofNanos((long) (s * NANOS_PER_SECOND))).orElse(defaultValue);
  }

  private static double nonNegative(String text) {
    double value = Double.parseDouble(text);
    if (!(value >= 0) || Double.isInfinite(value)) {
      throw new IllegalArgumentException(text);
    }
    return value;
  }

  private static InetSocketAddress address(String text) {
    HostAndPort parsed = HostAndPort.fromString(text);
    return new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort());
  }

  private static ImmutableList<InetSocketAddress> addresses(String text) {
    return Splitter.on(',')
        .trimResults()
        .omitEmptyStrings()
        .splitToStream(text)
        .map(RelaySettingsReader::address)
        .collect(ImmutableList.toImmutableList());
  }

  private static String checkedAddress(String text) {
    return text.isEmpty() ? text : address(text).getAddress().getHostAddress() + port(text);
  }

  private static String port(String text) {
    return ":" + HostAndPort.fromString(text).getPort();
  }
}
