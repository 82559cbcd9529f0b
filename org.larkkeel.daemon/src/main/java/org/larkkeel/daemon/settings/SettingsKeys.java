/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.settings;

import com.google.common.collect.ImmutableSet;

/**
 * The keys of the settings file.
 *
 * @since 0.1
 */
public final class SettingsKeys {
  public static final String HOST = "host";
  public static final String DATA_CENTRE = "dataCentre";
  public static final String INCARNATION = "incarnation";
  public static final String LISTENERS = "listeners";
  public static final String CALLER = "caller";
  public static final String OPERATOR = "operator";
  public static final String PEER = "peer";
  public static final String ADDRESS = "address";
  public static final String CERTIFICATE = "certificate";
  public static final String KEY = "key";
  public static final String AUTHORITY = "authority";
  public static final String SECRET = "secret";
  public static final String PLATFORM = "platform";
  public static final String URL = "url";
  public static final String TOKEN = "token";
  public static final String TIMEOUT_MILLIS = "timeoutMillis";
  public static final String READS_PER_SECOND = "readsPerSecond";
  public static final String WRITES_PER_SECOND = "writesPerSecond";
  public static final String OPERATORS = "operators";
  public static final String TOKEN_SHA256 = "tokenSha256";
  public static final String ROLE = "role";
  public static final String LIMITS = "limits";
  public static final String IO_THREADS = "ioThreads";
  public static final String QUEUED_EVENTS = "queuedEvents";
  public static final String MAX_BODY_BYTES = "maxBodyBytes";
  public static final String MAX_BODIES_BYTES = "maxBodiesBytes";
  public static final String MAX_PENDING_BYTES = "maxPendingBytes";
  public static final String HEADER_MILLIS = "headerMillis";
  public static final String BODY_MILLIS = "bodyMillis";
  public static final String IDLE_MILLIS = "idleMillis";
  public static final String STALL_MILLIS = "stallMillis";
  public static final String CUT_OFF_MILLIS = "cutOffMillis";
  public static final String GRACE_MILLIS = "graceMillis";
  public static final String DRAIN_MILLIS = "drainMillis";
  public static final String RELOAD_MILLIS = "reloadMillis";
  public static final String POLL_MILLIS = "pollMillis";
  public static final String ROUTER = "router";
  public static final String SLOTS = "slots";
  public static final String POLICY = "policy";
  public static final String SMALL_PROMPT_TOKENS = "smallPromptTokens";
  public static final String PREFILL_DEPTH = "prefillDepth";
  public static final String MAX_QUEUED = "maxQueued";
  public static final String KV_HOLD_MILLIS = "kvHoldMillis";
  public static final String EJECT_AFTER = "ejectAfter";
  public static final String EJECT_MILLIS = "ejectMillis";
  public static final String LOG_LEVEL = "logLevel";

  static final ImmutableSet<String> TOP_LEVEL =
      ImmutableSet.of(
          HOST,
          DATA_CENTRE,
          INCARNATION,
          LISTENERS,
          PLATFORM,
          OPERATORS,
          LIMITS,
          ROUTER,
          LOG_LEVEL);
  static final ImmutableSet<String> IN_LISTENERS = ImmutableSet.of(CALLER, OPERATOR, PEER);
  static final ImmutableSet<String> IN_LISTENER = ImmutableSet.of(ADDRESS, CERTIFICATE, KEY);
  static final ImmutableSet<String> IN_PEER =
      ImmutableSet.of(ADDRESS, CERTIFICATE, KEY, AUTHORITY, SECRET);
  static final ImmutableSet<String> IN_PLATFORM =
      ImmutableSet.of(URL, TOKEN, TIMEOUT_MILLIS, READS_PER_SECOND, WRITES_PER_SECOND);
  static final ImmutableSet<String> IN_OPERATOR = ImmutableSet.of(TOKEN_SHA256, ROLE);
  static final ImmutableSet<String> IN_LIMITS =
      ImmutableSet.of(
          IO_THREADS,
          QUEUED_EVENTS,
          MAX_BODY_BYTES,
          MAX_BODIES_BYTES,
          MAX_PENDING_BYTES,
          HEADER_MILLIS,
          BODY_MILLIS,
          IDLE_MILLIS,
          STALL_MILLIS,
          CUT_OFF_MILLIS,
          GRACE_MILLIS,
          DRAIN_MILLIS,
          RELOAD_MILLIS,
          POLL_MILLIS);
  static final ImmutableSet<String> IN_ROUTER =
      ImmutableSet.of(
          POLICY,
          SLOTS,
          SMALL_PROMPT_TOKENS,
          PREFILL_DEPTH,
          MAX_QUEUED,
          KV_HOLD_MILLIS,
          EJECT_AFTER,
          EJECT_MILLIS);

  private SettingsKeys() {}
}
