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
   * @param name the name of the upstream
   * @return the address; empty if the configuration does not contain the upstream
   */
  Optional<UpstreamAddress> find(UpstreamName name);
}
