/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.larkkeel.http.operator.NodeStatus.Phase;
import org.larkkeel.http.operator.NodeStatus.StoreState;

/**
 * Whether the node takes requests.
 *
 * <p>A node that reaches the store or a peer is not cut off; while the store alone is down it keeps
 * serving. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class Readiness {
  private final BooleanSupplier configured;
  private final BooleanSupplier peersReachable;
  private final LongSupplier clock;
  private final long cutOffNanos;
  private volatile long lastContact;
  private volatile boolean storeReachable = true;
  private volatile boolean draining;

  /**
   * Creates the readiness of a node that starts.
   *
   * @param configured whether a configuration is in force
   * @param peersReachable whether another node answers
   * @param clock the node's monotonic clock, nanoseconds
   * @param cutOffNanos how long a node may reach nobody
   */
  public Readiness(
      BooleanSupplier configured,
      BooleanSupplier peersReachable,
      LongSupplier clock,
      long cutOffNanos) {
    this.configured = configured;
    this.peersReachable = peersReachable;
    this.clock = clock;
    this.cutOffNanos = cutOffNanos;
    this.lastContact = clock.getAsLong();
  }

  /** The store answered. */
  public void storeAnswered() {
    storeReachable = true;
    lastContact = clock.getAsLong();
  }

  /** The store did not answer. */
  public void storeSilent() {
    storeReachable = false;
  }

  /** The node is to stop; it does not become ready again. */
  public void drain() {
    draining = true;
  }

  /**
   * Whether the store answered last.
   *
   * @return the state
   */
  public StoreState store() {
    return storeReachable ? StoreState.REACHABLE : StoreState.UNREACHABLE;
  }

  /**
   * How long nobody was in reach.
   *
   * @return nanoseconds since the last sign of the store or of a peer
   */
  public long silentNanos() {
    if (peersReachable.getAsBoolean()) {
      lastContact = clock.getAsLong();
    }
    return clock.getAsLong() - lastContact;
  }

  /**
   * Tells whether the node takes requests.
   *
   * @return the phase
   */
  public Phase phase() {
    if (draining) {
      return Phase.DRAINING;
    }
    if (silentNanos() >= cutOffNanos) {
      return Phase.UNREADY;
    }
    return configured.getAsBoolean() ? Phase.READY : Phase.STARTING;
  }

  /**
   * Tells whether the node takes requests.
   *
   * @return true if it is ready
   */
  public boolean isReady() {
    return phase() == Phase.READY;
  }
}
