/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.settings;

import java.time.Duration;

/**
 * Bounds of a node.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param ioThreads I/O threads of all listeners and clients
 * @param queuedEvents events that may wait for the reducer, a power of 2
 * @param maxBodyBytes the largest body of a request
 * @param maxBodiesBytes the most that the bodies of all requests may take together
 * @param maxPendingBytes the most that waits for one caller to read
 * @param header a request whose headers take longer is dropped
 * @param body a request whose body takes longer is refused
 * @param idle a connection without a request is closed after this
 * @param stall a caller that reads nothing for this long is cut off
 * @param cutOff a node that reaches neither the store nor a peer for this long turns unready
 * @param grace how long a node that is to stop takes requests after it turned unready
 * @param drain the longest that a stop waits for requests in progress
 * @param reload how often certificates are looked at for a change
 * @param poll how often engines are asked for their load
 * @since 0.1
 */
public record LimitSettings(
    int ioThreads,
    int queuedEvents,
    int maxBodyBytes,
    long maxBodiesBytes,
    int maxPendingBytes,
    Duration header,
    Duration body,
    Duration idle,
    Duration stall,
    Duration cutOff,
    Duration grace,
    Duration drain,
    Duration reload,
    Duration poll) {
  static final int IO_THREADS = 2;
  static final int QUEUED_EVENTS = 16_384;
  static final int MAX_BODY_BYTES = 2 << 20;
  static final long MAX_BODIES_BYTES = 96L << 20;
  static final int MAX_PENDING_BYTES = 512 << 10;
  static final long HEADER_MILLIS = 10_000;
  static final long BODY_MILLIS = 30_000;
  static final long IDLE_MILLIS = 60_000;
  static final long STALL_MILLIS = 10_000;
  static final long CUT_OFF_MILLIS = 30_000;
  static final long GRACE_MILLIS = 1_000;
  static final long DRAIN_MILLIS = 600_000;
  static final long RELOAD_MILLIS = 10_000;
  static final long POLL_MILLIS = 250;

  /** The limits of a node that sets none. */
  public static final LimitSettings DEFAULT =
      new LimitSettings(
          IO_THREADS,
          QUEUED_EVENTS,
          MAX_BODY_BYTES,
          MAX_BODIES_BYTES,
          MAX_PENDING_BYTES,
          Duration.ofMillis(HEADER_MILLIS),
          Duration.ofMillis(BODY_MILLIS),
          Duration.ofMillis(IDLE_MILLIS),
          Duration.ofMillis(STALL_MILLIS),
          Duration.ofMillis(CUT_OFF_MILLIS),
          Duration.ofMillis(GRACE_MILLIS),
          Duration.ofMillis(DRAIN_MILLIS),
          Duration.ofMillis(RELOAD_MILLIS),
          Duration.ofMillis(POLL_MILLIS));
}
