/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.larkkeel.config.Checked;
import org.larkkeel.config.FieldReader;
import org.larkkeel.config.ProblemCollector;
import org.larkkeel.config.Severity;
import org.larkkeel.http.operator.OperatorRole;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.router.RouterSettings;

/**
 * Reads the settings file; reports all problems together rather than only the first.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class SettingsReader {
  private static final String ADDRESS_REMEDY = "write an IP number and a port, as 10.0.0.1:8080";
  private static final String NAME_REMEDY =
      "use letters, digits and . _ / -, beginning and ending with a letter or a digit";
  private static final String URL_REMEDY = "write scheme, address and port, as http://10.0.0.9:80";
  private static final String DIGEST_REMEDY = "write the 64 hex digits of SHA-256 of the token";
  private static final Pattern DIGEST = Pattern.compile("[0-9a-fA-F]{64}");
  private static final String DEFAULT_CALLER = "127.0.0.1:8080";
  private static final String DEFAULT_OPERATOR = "127.0.0.1:8081";
  private static final String DEFAULT_PEER = "127.0.0.1:8082";
  private static final int MAX_THREADS = 64;
  private static final int MIN_QUEUED_EVENTS = 64;
  private static final int MAX_QUEUED_EVENTS = 1 << 20;
  private static final int MIN_BYTES = 1_024;
  private static final long MAX_TOTAL_BODY_BYTES = 1L << 36;
  private static final long DAY_MILLIS = TimeUnit.DAYS.toMillis(1);
  private static final int MAX_CALLS_PER_SECOND = 100_000;
  private static final int MAX_TOKENS = 10_000_000;

  private SettingsReader() {}

  /**
   * Reads and validates the settings.
   *
   * @param source the name of the file, shown in problems
   * @param text the content of the file
   * @return the settings, or all problems
   */
  public static Checked<Settings> read(String source, String text) {
    ProblemCollector problems = new ProblemCollector(source, Severity.ERROR);
    Settings settings =
        FieldReader.document(text, SettingsKeys.TOP_LEVEL, problems)
            .map(SettingsReader::settings)
            .orElse(null);
    return Checked.of(settings, problems.build());
  }

  /** Builds the settings; fields may be null if a problem was reported. */
  private static Settings settings(FieldReader top) {
    HostName host = name(top, SettingsKeys.HOST).map(HostName::new).orElse(null);
    DataCentreName dataCentre =
        name(top, SettingsKeys.DATA_CENTRE).map(DataCentreName::new).orElse(null);
    long incarnation = top.wholeNumber(SettingsKeys.INCARNATION, 0, Long.MAX_VALUE, 0);
    FieldReader listeners = top.child(SettingsKeys.LISTENERS, SettingsKeys.IN_LISTENERS);
    FieldReader peer = listeners.child(SettingsKeys.PEER, SettingsKeys.IN_PEER);
    return new Settings(
        host,
        dataCentre,
        incarnation == 0 ? Optional.empty() : Optional.of(new Incarnation(incarnation)),
        listener(listeners.child(SettingsKeys.CALLER, SettingsKeys.IN_LISTENER), DEFAULT_CALLER),
        listener(
            listeners.child(SettingsKeys.OPERATOR, SettingsKeys.IN_LISTENER), DEFAULT_OPERATOR),
        peerListener(peer),
        peer.text(SettingsKeys.SECRET).map(Path::of),
        platform(top.child(SettingsKeys.PLATFORM, SettingsKeys.IN_PLATFORM)),
        operators(top),
        limits(top.child(SettingsKeys.LIMITS, SettingsKeys.IN_LIMITS)),
        router(top.child(SettingsKeys.ROUTER, SettingsKeys.IN_ROUTER), dataCentre),
        top.choice(SettingsKeys.LOG_LEVEL, LogLevel.class, LogLevel.INFO));
  }

  private static Optional<String> name(FieldReader fields, String key) {
    if (fields.requiredText(key, NAME_REMEDY).isEmpty()) {
      return Optional.empty();
    }
    return fields.parsed(key, text -> new HostName(text).value(), NAME_REMEDY);
  }

  private static ListenerSettings listener(FieldReader fields, String defaultAddress) {
    return new ListenerSettings(address(fields, defaultAddress), tls(fields, Optional.empty()));
  }

  private static ListenerSettings peerListener(FieldReader fields) {
    InetSocketAddress address = address(fields, DEFAULT_PEER);
    if (address.getAddress().isAnyLocalAddress()) {
      fields.reportError(
          SettingsKeys.ADDRESS,
          "peers can not reach a wildcard",
          "write the IP number of this host");
    }
    Optional<Path> authority = fields.text(SettingsKeys.AUTHORITY).map(Path::of);
    Optional<TlsFiles> tls = tls(fields, authority);
    if (tls.isPresent() && authority.isEmpty()) {
      fields.reportMissing(
          SettingsKeys.AUTHORITY, "name the file with the certificates that sign peers");
    }
    return new ListenerSettings(address, tls);
  }

  private static InetSocketAddress address(FieldReader fields, String defaultAddress) {
    return fields
        .parsed(SettingsKeys.ADDRESS, SettingsReader::parseAddress, ADDRESS_REMEDY)
        .orElseGet(() -> parseAddress(defaultAddress));
  }

  private static InetSocketAddress parseAddress(String text) {
    HostAndPort parts = HostAndPort.fromString(text);
    if (!parts.hasPort()) {
      throw new IllegalArgumentException("the address has no port");
    }
    return new InetSocketAddress(InetAddresses.forString(parts.getHost()), parts.getPort());
  }

  private static Optional<TlsFiles> tls(FieldReader fields, Optional<Path> authority) {
    Optional<Path> certificate = fields.text(SettingsKeys.CERTIFICATE).map(Path::of);
    Optional<Path> key = fields.text(SettingsKeys.KEY).map(Path::of);
    if (certificate.isPresent() && key.isEmpty()) {
      fields.reportMissing(
          SettingsKeys.KEY, "name the file with the private key of the certificate");
    }
    if (certificate.isEmpty() && key.isPresent()) {
      fields.reportMissing(
          SettingsKeys.CERTIFICATE, "name the file with the certificate of the key");
    }
    return certificate.isPresent() && key.isPresent()
        ? Optional.of(new TlsFiles(certificate.get(), key.get(), authority))
        : Optional.empty();
  }

  private static PlatformSettings platform(FieldReader fields) {
    fields.requiredText(SettingsKeys.URL, URL_REMEDY);
    URI url = fields.parsed(SettingsKeys.URL, SettingsReader::parseUrl, URL_REMEDY).orElse(null);
    return new PlatformSettings(
        url,
        fields.text(SettingsKeys.TOKEN).map(Path::of),
        millis(fields, SettingsKeys.TIMEOUT_MILLIS, 2_000),
        (int) fields.wholeNumber(SettingsKeys.READS_PER_SECOND, 1, MAX_CALLS_PER_SECOND, 100),
        (int) fields.wholeNumber(SettingsKeys.WRITES_PER_SECOND, 1, MAX_CALLS_PER_SECOND, 50));
  }

  private static URI parseUrl(String text) {
    URI url = URI.create(text);
    boolean http = "http".equals(url.getScheme()) || "https".equals(url.getScheme());
    if (!http || url.getHost() == null || url.getPort() < 0) {
      throw new IllegalArgumentException("expected an http or https URL with host and port");
    }
    return url;
  }

  private static ImmutableList<OperatorSettings> operators(FieldReader top) {
    ImmutableList.Builder<OperatorSettings> operators = ImmutableList.builder();
    top.children(SettingsKeys.OPERATORS, SettingsKeys.IN_OPERATOR)
        .forEach((name, fields) -> operators.add(operator(name, fields)));
    return operators.build();
  }

  private static OperatorSettings operator(String name, FieldReader fields) {
    fields.requiredText(SettingsKeys.TOKEN_SHA256, DIGEST_REMEDY);
    String digest =
        fields
            .parsed(SettingsKeys.TOKEN_SHA256, SettingsReader::parseDigest, DIGEST_REMEDY)
            .orElse("");
    return new OperatorSettings(
        name, digest, fields.choice(SettingsKeys.ROLE, OperatorRole.class, OperatorRole.VIEWER));
  }

  private static String parseDigest(String text) {
    if (!DIGEST.matcher(text).matches()) {
      throw new IllegalArgumentException("expected 64 hex digits");
    }
    return text.toLowerCase(Locale.ROOT);
  }

  private static LimitSettings limits(FieldReader f) {
    int queuedEvents =
        (int)
            f.wholeNumber(
                SettingsKeys.QUEUED_EVENTS,
                MIN_QUEUED_EVENTS,
                MAX_QUEUED_EVENTS,
                LimitSettings.QUEUED_EVENTS);
    if (Integer.bitCount(queuedEvents) != 1) {
      f.reportError(SettingsKeys.QUEUED_EVENTS, "not a power of 2", "use a power of 2, as 16384");
    }
    return new LimitSettings(
        (int) f.wholeNumber(SettingsKeys.IO_THREADS, 1, MAX_THREADS, LimitSettings.IO_THREADS),
        queuedEvents,
        bytes(f, SettingsKeys.MAX_BODY_BYTES, LimitSettings.MAX_BODY_BYTES),
        f.wholeNumber(
            SettingsKeys.MAX_BODIES_BYTES,
            MIN_BYTES,
            MAX_TOTAL_BODY_BYTES,
            LimitSettings.MAX_BODIES_BYTES),
        bytes(f, SettingsKeys.MAX_PENDING_BYTES, LimitSettings.MAX_PENDING_BYTES),
        millis(f, SettingsKeys.HEADER_MILLIS, LimitSettings.HEADER_MILLIS),
        millis(f, SettingsKeys.BODY_MILLIS, LimitSettings.BODY_MILLIS),
        millis(f, SettingsKeys.IDLE_MILLIS, LimitSettings.IDLE_MILLIS),
        millis(f, SettingsKeys.STALL_MILLIS, LimitSettings.STALL_MILLIS),
        millis(f, SettingsKeys.CUT_OFF_MILLIS, LimitSettings.CUT_OFF_MILLIS),
        millis(f, SettingsKeys.GRACE_MILLIS, LimitSettings.GRACE_MILLIS),
        millis(f, SettingsKeys.DRAIN_MILLIS, LimitSettings.DRAIN_MILLIS),
        millis(f, SettingsKeys.RELOAD_MILLIS, LimitSettings.RELOAD_MILLIS),
        millis(f, SettingsKeys.POLL_MILLIS, LimitSettings.POLL_MILLIS));
  }

  private static int bytes(FieldReader fields, String key, int defaultValue) {
    return (int) fields.wholeNumber(key, MIN_BYTES, Integer.MAX_VALUE, defaultValue);
  }

  private static Duration millis(FieldReader fields, String key, long defaultMillis) {
    return Duration.ofMillis(fields.wholeNumber(key, 1, DAY_MILLIS, defaultMillis));
  }

  private static RouterSettings router(FieldReader f, DataCentreName dataCentre) {
    RouterSettings defaults = RouterSettings.defaults();
    RouterSettings.Builder builder =
        f.parsed(
                SettingsKeys.POLICY,
                RouterSettings::named,
                "use one of " + String.join(", ", RouterSettings.NAMES))
            .orElseGet(RouterSettings::builder);
    return builder
        .dataCentre(Optional.ofNullable(dataCentre))
        .sharedSlots(
            f.choice(SettingsKeys.SLOTS, SlotSharing.class, SlotSharing.GRANTED)
                == SlotSharing.GRANTED)
        .smallPromptTokens(
            count(f, SettingsKeys.SMALL_PROMPT_TOKENS, MAX_TOKENS, defaults.smallPromptTokens()))
        .prefillDepth(count(f, SettingsKeys.PREFILL_DEPTH, 1_000, defaults.prefillDepth()))
        .maxQueued(count(f, SettingsKeys.MAX_QUEUED, MAX_TOKENS, defaults.maxQueued()))
        .ejectAfter(count(f, SettingsKeys.EJECT_AFTER, 1_000, defaults.ejectAfter()))
        .kvHoldNanos(nanos(f, SettingsKeys.KV_HOLD_MILLIS, defaults.kvHoldNanos()))
        .ejectNanos(nanos(f, SettingsKeys.EJECT_MILLIS, defaults.ejectNanos()))
        .build();
  }

  private static int count(FieldReader fields, String key, int max, int defaultValue) {
    return (int) fields.wholeNumber(key, 1, max, defaultValue);
  }

  private static long nanos(FieldReader fields, String key, long defaultNanos) {
    return millis(fields, key, TimeUnit.NANOSECONDS.toMillis(defaultNanos)).toNanos();
  }
}
