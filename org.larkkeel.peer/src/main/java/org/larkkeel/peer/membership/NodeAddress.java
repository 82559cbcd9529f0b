/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Arrays;

/**
 * The address on which a node listens for its peers: an IP address and one port for TCP and UDP.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public final class NodeAddress {
  private static final int MAX_PORT = 65_535;

  private final byte[] ip;
  private final int port;

  private NodeAddress(byte[] ip, int port) {
    this.ip = ip;
    this.port = port;
  }

  /**
   * Creates an address from IP address and port.
   *
   * @param ip 4 or 16 bytes, copied
   * @param port 1 to 65535
   * @return the address
   * @throws IllegalArgumentException if the length of the IP address or the port is out of range
   */
  public static NodeAddress of(byte[] ip, int port) {
    if (ip.length != 4 && ip.length != 16) {
      throw new IllegalArgumentException(
          "ip has " + ip.length + " bytes: an address has 4 or 16 bytes");
    }
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("port is " + port + ": use 1 to " + MAX_PORT);
    }
    return new NodeAddress(ip.clone(), port);
  }

  /**
   * Parses an address such as {@code 10.0.0.7:7400} or {@code [fd00::7]:7400}.
   *
   * @param text the IP address in digits, a colon and the port
   * @return the address
   * @throws IllegalArgumentException if the text is not an address
   */
  public static NodeAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      throw new IllegalArgumentException("address \"" + text + "\" has no port: use ip:port");
    }
    String host = text.substring(0, colon);
    if (host.startsWith("[") && host.endsWith("]")) {
      host = host.substring(1, host.length() - 1);
    }
    return of(
        InetAddress.ofLiteral(host).getAddress(), Integer.parseInt(text.substring(colon + 1)));
  }

  /**
   * Converts a socket address.
   *
   * @param socket a resolved address
   * @return the address
   */
  public static NodeAddress ofSocket(InetSocketAddress socket) {
    return of(socket.getAddress().getAddress(), socket.getPort());
  }

  /**
   * Returns the IP address.
   *
   * @return a copy of 4 or 16 bytes
   */
  public byte[] ip() {
    return ip.clone();
  }

  /**
   * Returns the port.
   *
   * @return 1 to 65535
   */
  public int port() {
    return port;
  }

  /**
   * Converts to a socket address.
   *
   * @return a resolved address
   */
  public InetSocketAddress toSocketAddress() {
    try {
      return new InetSocketAddress(InetAddress.getByAddress(ip), port);
    } catch (UnknownHostException e) {
      throw new IllegalStateException("the length of ip was checked on creation", e);
    }
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof NodeAddress that && port == that.port && Arrays.equals(ip, that.ip);
  }

  @Override
  public int hashCode() {
    return 31 * Arrays.hashCode(ip) + port;
  }

  @Override
  public String toString() {
    InetSocketAddress socket = toSocketAddress();
    return ip.length == 4
        ? socket.getAddress().getHostAddress() + ":" + port
        : "[" + socket.getAddress().getHostAddress() + "]:" + port;
  }
}
