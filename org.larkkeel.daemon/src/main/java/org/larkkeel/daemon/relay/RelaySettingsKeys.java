/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableSet;

/** The keys of a relay node's settings. */
final class RelaySettingsKeys {
  static final String HOST = "host";
  static final String DATA_CENTRE = "dataCentre";
  static final String LISTENERS = "listeners";
  static final String CALLER = "caller";
  static final String READINESS = "readiness";
  static final String METRICS = "metrics";
  static final String PEER = "peer";
  static final String SEEDS = "seeds";
  static final String STORE = "store";
  static final String ADDRESS = "address";
  static final String TIMEOUT_MILLIS = "timeoutMillis";
  static final String WATCH_MILLIS = "watchMillis";
  static final String REPEATS = "repeats";
  static final String SHARE = "share";
  static final String SLACK = "slack";
  static final String WINDOW_SECONDS = "windowSeconds";
  static final String NODES = "nodes";
  static final String QUOTAS = "quotas";
  static final String STAGE_TOKENS = "stageTokens";
  static final String MISSING_MILLIS = "missingMillis";
  static final String PREFILL_SHARE = "prefillShare";
  static final String KEEPER_FROM_NODES = "keeperFromNodes";
  static final String STOP = "stop";
  static final String LEAVE_MILLIS = "leaveMillis";
  static final String GRACE_SECONDS = "graceSeconds";
  static final String LOG_LEVEL = "logLevel";

  static final ImmutableSet<String> TOP =
      ImmutableSet.of(
          HOST,
          DATA_CENTRE,
          LISTENERS,
          SEEDS,
          STORE,
          REPEATS,
          QUOTAS,
          STAGE_TOKENS,
          PREFILL_SHARE,
          KEEPER_FROM_NODES,
          MISSING_MILLIS,
          STOP,
          LOG_LEVEL);
  static final ImmutableSet<String> IN_LISTENERS =
      ImmutableSet.of(CALLER, READINESS, METRICS, PEER);
  static final ImmutableSet<String> IN_STORE =
      ImmutableSet.of(ADDRESS, TIMEOUT_MILLIS, WATCH_MILLIS);
  static final ImmutableSet<String> IN_REPEATS =
      ImmutableSet.of(SHARE, SLACK, WINDOW_SECONDS, NODES);
  static final ImmutableSet<String> IN_QUOTAS = ImmutableSet.of(SHARE, SLACK, WINDOW_SECONDS);
  static final ImmutableSet<String> IN_STOP = ImmutableSet.of(LEAVE_MILLIS, GRACE_SECONDS);

  private RelaySettingsKeys() {}
}
