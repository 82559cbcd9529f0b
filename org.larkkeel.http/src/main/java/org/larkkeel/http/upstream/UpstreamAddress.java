/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * The address where an upstream listens.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param address IP address and port
 * @since 0.1
 */
public record UpstreamAddress(InetSocketAddress address) {
  /**
   * Parses {@code 10.0.0.1:8000}.
   *
   * @param text IP address and port
   * @return the address
   * @throws IllegalArgumentException if the text has another format; host names are not resolved
   */
  public static UpstreamAddress parse(String text) {
    HostAndPort parsed = HostAndPort.fromString(text);
    InetAddress ip = InetAddresses.forString(parsed.getHost());
    return new UpstreamAddress(new InetSocketAddress(ip, parsed.getPort()));
  }

  /**
   * Returns the value of the {@code Host} header.
   *
   * @return IP address and port, with an IPv6 address in brackets
   */
  public String hostHeader() {
    String host = address.getAddress().getHostAddress();
    return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort();
  }
}
