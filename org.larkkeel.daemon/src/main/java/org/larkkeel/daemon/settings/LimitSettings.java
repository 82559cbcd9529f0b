/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.settings;

import java.time.Duration;

/**
 * Resource limits and timeouts of a node.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param ioThreads the number of I/O threads that all listeners and clients share
 * @param queuedEvents the capacity of the reducer's queue in events, a power of 2
 * @param maxBodyBytes the maximum size of a request body
 * @param maxBodiesBytes the maximum total size of all request bodies held at once
 * @param maxPendingBytes the maximum size of the data buffered for one caller
 * @param header the timeout for request headers, after which the connection is dropped
 * @param body the timeout for a request body, after which the request is refused
 * @param idle the time after which a connection without a request is closed
 * @param stall the time after which the connection of a caller that reads nothing is closed
 * @param cutOff the time without contact to the store or a peer after which the node turns unready
 * @param grace the time for which a draining node still accepts requests after it turned unready
 * @param drain the maximum time that a drain waits for requests in progress
 * @param reload the interval between checks for changed certificate files
 * @param poll the interval between polls of an engine's load
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

  /** The default limits. */
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
