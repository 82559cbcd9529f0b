/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

/**
 * Validates addresses of upstreams: an IP literal and a port. Stateless and safe for use by several
 * threads.
 */
final class Addresses {
  static final String FORMAT_REMEDY =
      "write an IP number and a port, as 10.0.0.1:8000 or [fd00::1]:8000";

  private Addresses() {}

  static boolean isValid(String text) {
    try {
      HostAndPort address = HostAndPort.fromString(text);
      return address.hasPort()
          && address.getPort() > 0
          && InetAddresses.isInetAddress(address.getHost());
    } catch (IllegalArgumentException e) {
      return false;
    }
  }
}
