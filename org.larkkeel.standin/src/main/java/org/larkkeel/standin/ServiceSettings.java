/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * The settings of a stand-in service.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param bind the address to listen on; port 0 takes a free one
 * @param referenceField the name of the request body field by which executions are counted
 * @since 0.1
 */
public record ServiceSettings(InetSocketAddress bind, String referenceField) {
  /** A free port of 127.0.0.1, executions counted by the field {@code ref}. */
  public static final ServiceSettings DEFAULTS =
      new ServiceSettings(new InetSocketAddress(InetAddress.ofLiteral("127.0.0.1"), 0), "ref");

  /**
   * Returns a copy with another address.
   *
   * @param value the address to listen on
   * @return the copy
   */
  public ServiceSettings withBind(InetSocketAddress value) {
    return new ServiceSettings(value, referenceField);
  }
}
