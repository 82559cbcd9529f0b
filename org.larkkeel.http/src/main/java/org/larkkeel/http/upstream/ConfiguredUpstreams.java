/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.Upstream;
import org.larkkeel.lib.UpstreamName;

/**
 * The upstream addresses of one configuration.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param addresses the addresses by upstream name
 * @since 0.1
 */
public record ConfiguredUpstreams(ImmutableMap<UpstreamName, UpstreamAddress> addresses)
    implements UpstreamDirectory {
  /**
   * Collects the upstream addresses of a configuration.
   *
   * @param configuration the configuration in force
   * @return the directory
   * @throws IllegalArgumentException if an address is not an IP address and a port
   */
  public static ConfiguredUpstreams of(Configuration configuration) {
    ImmutableMap.Builder<UpstreamName, UpstreamAddress> addresses = ImmutableMap.builder();
    for (Upstream upstream : configuration.upstreams().values()) {
      addresses.put(upstream.name(), UpstreamAddress.parse(upstream.address()));
    }
    return new ConfiguredUpstreams(addresses.buildOrThrow());
  }

  @Override
  public Optional<UpstreamAddress> find(UpstreamName name) {
    return Optional.ofNullable(addresses.get(name));
  }
}
