/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The connections that carried the attempts of one request.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
public final class CarriedBy {
  private final Set<PooledConnection> connections = ConcurrentHashMap.newKeySet();

  /** Creates an empty set. */
  public CarriedBy() {}

  void add(PooledConnection connection) {
    connections.add(connection);
  }

  boolean contains(PooledConnection connection) {
    return connections.contains(connection);
  }
}
