/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * The settings of a stand-in platform.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param bind the address to listen on; port 0 takes a free one
 * @param hostLagMillis the delay until a change appears in the list of hosts, in milliseconds
 * @param historyLimit the maximum number of changes kept for watches
 * @param weightBytes the size of each model version, in bytes
 * @param weightBytesPerSecond the rate of one pull of weights, in bytes per second
 * @param weightPulls the maximum number of concurrent pulls of weights
 * @since 0.1
 */
public record PlatformSettings(
    InetSocketAddress bind,
    long hostLagMillis,
    int historyLimit,
    long weightBytes,
    long weightBytesPerSecond,
    int weightPulls) {
  /** A free port of 127.0.0.1, a host delay of one second, two concurrent pulls of 5 s each. */
  public static final PlatformSettings DEFAULTS =
      new PlatformSettings(
          new InetSocketAddress(InetAddress.ofLiteral("127.0.0.1"), 0),
          1_000,
          10_000,
          10_000_000_000L,
          2_000_000_000L,
          2);

  /**
   * Returns a copy with another address.
   *
   * @param value the address to listen on
   * @return the copy
   */
  public PlatformSettings withBind(InetSocketAddress value) {
    return new PlatformSettings(
        value, hostLagMillis, historyLimit, weightBytes, weightBytesPerSecond, weightPulls);
  }

  /**
   * Returns a copy with another delay of the list of hosts.
   *
   * @param value the delay in milliseconds, 0 for none
   * @return the copy
   */
  public PlatformSettings withHostLagMillis(long value) {
    return new PlatformSettings(
        bind, value, historyLimit, weightBytes, weightBytesPerSecond, weightPulls);
  }

  /**
   * Returns a copy with another limit of changes kept for watches.
   *
   * @param value the maximum number of changes
   * @return the copy
   */
  public PlatformSettings withHistoryLimit(int value) {
    return new PlatformSettings(
        bind, hostLagMillis, value, weightBytes, weightBytesPerSecond, weightPulls);
  }
}
