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
 * Remembers the last address of each upstream that was used, so that what it holds can be cancelled
 * after it has left the configuration, and which upstreams are services, which know no cancel.
 *
 * <p>Safe for use by several threads.
 */
final class KnownAddresses {
  private final UpstreamDirectory directory;
  private final ConcurrentMap<UpstreamName, UpstreamAddress> last = new ConcurrentHashMap<>();
  private final Set<UpstreamName> services = ConcurrentHashMap.newKeySet();

  KnownAddresses(UpstreamDirectory directory) {
    this.directory = directory;
  }

  Optional<UpstreamAddress> find(UpstreamName name) {
    Optional<UpstreamAddress> now = directory.find(name);
    now.ifPresent(a -> last.put(name, a));
    return now.or(() -> Optional.ofNullable(last.get(name)));
  }

  /** Notes that an upstream takes plain calls. */
  void markService(UpstreamName name) {
    services.add(name);
  }

  /** Tells whether an upstream has taken plain calls. */
  boolean isService(UpstreamName name) {
    return services.contains(name);
  }
}
