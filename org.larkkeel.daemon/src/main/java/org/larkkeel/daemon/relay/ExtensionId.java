/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The extensions of messages that this version knows; {@link MessageExtensions} holds them. */
enum ExtensionId {
  /** The ranks and workspaces of the requests of a {@link PeerMessage.Kind#REPORT}. */
  REQUEST_RANKS(1),

  /** The rejected calls in {@link PeerMessage.Kind#GRANTS}. */
  REJECTIONS(2),

  /** Measurements of engines, in a {@link PeerMessage.Kind#REPORT}. */
  SPEED_SAMPLES(4),

  /** The speeds of engines, in {@link PeerMessage.Kind#SUMS}. */
  UPSTREAM_SPEEDS(5),

  /** The identities of the requests of a {@link PeerMessage.Kind#REPORT}. */
  REQUEST_IDENTITIES(7),

  /** The tokens for the most urgent rank in the demands of a {@link PeerMessage.Kind#QUOTA}. */
  URGENT_DEMANDS(8),

  /** The upstreams that the sender of a {@link PeerMessage.Kind#REPORT} would not choose. */
  NOT_ELIGIBLE(9),

  /** The number of a report, in the report and in the messages that answer it. */
  REPORT_NUMBER(12),

  /** The times for which the callers of a {@link PeerMessage.Kind#REPORT}'s requests wait. */
  REQUEST_TERMS(14),

  /** The builds to which the requests of a {@link PeerMessage.Kind#REPORT} are restricted. */
  REQUEST_BUILDS(16),

  /** What {@link PeerMessage.Kind#SUSPECTS} says of each suspect beyond its crashes. */
  SUSPECT_DETAILS(17),

  /** A {@link StreamMessage}, in {@link PeerMessage.Kind#STREAM}. */
  STREAM(15),

  /** The services with a forecast in {@link PeerMessage.Kind#GRANTS}. */
  FORECASTS(13);

  private final int number;

  ExtensionId(int number) {
    this.number = number;
  }

  /** Returns the number that is sent, from 1 to {@link MessageExtensions#MAX_ID}. */
  int number() {
    return number;
  }

  /** Returns the extension with a number; empty if this version does not know it. */
  static Optional<ExtensionId> of(int number) {
    return Arrays.stream(values()).filter(id -> id.number == number).findFirst();
  }

  /** Returns the name in metrics and log lines. */
  String slug() {
    return name().toLowerCase(Locale.ROOT);
  }
}
