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
 * Decides whether the node accepts requests.
 *
 * <p>A node that reaches neither the store nor a peer for a time counts as partitioned and turns
 * unready. While only the store is down it stays ready. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class Readiness {
  private final BooleanSupplier hasConfiguration;
  private final BooleanSupplier peersReachable;
  private final LongSupplier clock;
  private final long partitionTimeoutNanos;
  private volatile long lastContactNanos;
  private volatile boolean storeReachable = true;
  private volatile boolean draining;

  /**
   * Creates the readiness of a starting node.
   *
   * @param hasConfiguration whether a configuration is in force
   * @param peersReachable whether another node is reachable
   * @param clock the node's monotonic clock, nanoseconds
   * @param partitionTimeoutNanos the time without contact to the store or a peer after which the
   *     node turns unready, nanoseconds
   */
  public Readiness(
      BooleanSupplier hasConfiguration,
      BooleanSupplier peersReachable,
      LongSupplier clock,
      long partitionTimeoutNanos) {
    this.hasConfiguration = hasConfiguration;
    this.peersReachable = peersReachable;
    this.clock = clock;
    this.partitionTimeoutNanos = partitionTimeoutNanos;
    this.lastContactNanos = clock.getAsLong();
  }

  /** Records that the store answered. */
  public void storeAnswered() {
    storeReachable = true;
    lastContactNanos = clock.getAsLong();
  }

  /** Records that the store did not answer. */
  public void storeUnreachable() {
    storeReachable = false;
  }

  /** Marks the node as draining; it does not become ready again. */
  public void drain() {
    draining = true;
  }

  /**
   * Returns whether the store answered the last call.
   *
   * @return the state
   */
  public StoreState store() {
    return storeReachable ? StoreState.REACHABLE : StoreState.UNREACHABLE;
  }

  /**
   * Returns the time since the last contact with the store or a peer.
   *
   * @return the time in nanoseconds
   */
  public long nanosSinceContact() {
    if (peersReachable.getAsBoolean()) {
      lastContactNanos = clock.getAsLong();
    }
    return clock.getAsLong() - lastContactNanos;
  }

  /**
   * Returns the phase of the node.
   *
   * @return the phase, never null
   */
  public Phase phase() {
    if (draining) {
      return Phase.DRAINING;
    }
    if (nanosSinceContact() >= partitionTimeoutNanos) {
      return Phase.UNREADY;
    }
    return hasConfiguration.getAsBoolean() ? Phase.READY : Phase.STARTING;
  }

  /**
   * Returns whether the node accepts requests.
   *
   * @return true if it is ready
   */
  public boolean isReady() {
    return phase() == Phase.READY;
  }
}
