/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.settings;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * The address and the TLS files of a listener.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param address IP number and port; port 0 selects a free port
 * @param tls the PEM files; empty for a listener without TLS
 * @since 0.1
 */
public record ListenerSettings(InetSocketAddress address, Optional<TlsFiles> tls) {
  /**
   * Returns the settings of a listener without TLS.
   *
   * @param address IP number and port
   * @return the settings
   */
  public static ListenerSettings plain(InetSocketAddress address) {
    return new ListenerSettings(address, Optional.empty());
  }
}
