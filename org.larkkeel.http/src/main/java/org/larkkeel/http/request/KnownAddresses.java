/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.http.upstream.UpstreamDirectory;
import org.larkkeel.lib.UpstreamName;

/**
 * The last known address of each upstream that was used, so that attempts can be cancelled after
 * the upstream has been removed from the configuration. Also records which upstreams are services,
 * which have no cancel call.
 *
 * <p>Safe for use by several threads.
 */
final class KnownAddresses {
  private final UpstreamDirectory directory;
  private final ConcurrentMap<UpstreamName, UpstreamAddress> lastKnown = new ConcurrentHashMap<>();
  private final Set<UpstreamName> services = ConcurrentHashMap.newKeySet();

  KnownAddresses(UpstreamDirectory directory) {
    this.directory = directory;
  }

  Optional<UpstreamAddress> find(UpstreamName name) {
    Optional<UpstreamAddress> current = directory.find(name);
    current.ifPresent(a -> lastKnown.put(name, a));
    return current.or(() -> Optional.ofNullable(lastKnown.get(name)));
  }

  /** Records that an upstream is a service. */
  void markService(UpstreamName name) {
    services.add(name);
  }

  /** Returns whether plain calls were sent to an upstream. */
  boolean isService(UpstreamName name) {
    return services.contains(name);
  }
}
