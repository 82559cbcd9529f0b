/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import java.util.Optional;
import org.larkkeel.lib.UpstreamName;

/**
 * Finds the addresses of upstreams in the configuration in force.
 *
 * <p>Implementations are safe for use by several threads.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface UpstreamDirectory {
  /**
   * Finds an upstream.
   *
   * @param name its name
   * @return its address; empty if the configuration does not name it
   */
  Optional<UpstreamAddress> find(UpstreamName name);
}
