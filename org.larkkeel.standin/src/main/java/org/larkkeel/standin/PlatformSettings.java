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
 * @param hostLagMillis how late the list of hosts shows a change, in milliseconds
 * @param historyLimit the changes kept for watches
 * @param weightBytes the size of each model version, in bytes
 * @param weightBytesPerSecond the rate of one pull of weights
 * @param weightPulls the pulls of weights that run at the same time
 * @since 0.1
 */
public record PlatformSettings(
    InetSocketAddress bind,
    long hostLagMillis,
    int historyLimit,
    long weightBytes,
    long weightBytesPerSecond,
    int weightPulls) {
  /** A free port of 127.0.0.1, hosts shown a second late, two pulls of 5 s at a time. */
  public static final PlatformSettings DEFAULTS =
      new PlatformSettings(
          new InetSocketAddress(InetAddress.ofLiteral("127.0.0.1"), 0),
          1_000,
          10_000,
          10_000_000_000L,
          2_000_000_000L,
          2);

  /**
   * Changes the address.
   *
   * @param value the address to listen on
   * @return a copy
   */
  public PlatformSettings withBind(InetSocketAddress value) {
    return new PlatformSettings(
        value, hostLagMillis, historyLimit, weightBytes, weightBytesPerSecond, weightPulls);
  }

  /**
   * Changes the lag of the list of hosts.
   *
   * @param value milliseconds, 0 for none
   * @return a copy
   */
  public PlatformSettings withHostLagMillis(long value) {
    return new PlatformSettings(
        bind, value, historyLimit, weightBytes, weightBytesPerSecond, weightPulls);
  }

  /**
   * Changes how many changes are kept for watches.
   *
   * @param value the number
   * @return a copy
   */
  public PlatformSettings withHistoryLimit(int value) {
    return new PlatformSettings(
        bind, hostLagMillis, value, weightBytes, weightBytesPerSecond, weightPulls);
  }
}
