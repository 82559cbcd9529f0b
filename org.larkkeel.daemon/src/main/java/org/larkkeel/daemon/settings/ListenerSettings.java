/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.settings;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Where a listener listens.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param address IP number and port; port 0 takes a free one
 * @param tls the PEM files; empty without TLS
 * @since 0.1
 */
public record ListenerSettings(InetSocketAddress address, Optional<TlsFiles> tls) {
  /**
   * A listener without TLS.
   *
   * @param address IP number and port
   * @return the settings
   */
  public static ListenerSettings plain(InetSocketAddress address) {
    return new ListenerSettings(address, Optional.empty());
  }
}
