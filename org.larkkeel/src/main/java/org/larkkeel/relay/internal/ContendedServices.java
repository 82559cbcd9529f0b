/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.function.Predicate;
import java.util.function.Supplier;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.ServiceName;

/**
 * Decides which services are contended: where callers compete for capacity in a way that the parts
 * for contended capacity act on.
 *
 * <p>Not thread-safe.
 */
final class ContendedServices {
  private final Supplier<RelayConfiguration> configuration;
  private final Predicate<ServiceName> isUneven;

  /**
   * Creates the predicate.
   *
   * @param configuration returns the configuration in force; null if there is none
   * @param isUneven returns whether the measured speeds of a service's engines differ so much that
   *     placement uses them
   */
  ContendedServices(Supplier<RelayConfiguration> configuration, Predicate<ServiceName> isUneven) {
    this.configuration = configuration;
    this.isUneven = isUneven;
  }

  /** Returns whether a service is contended: whether it is ranked or uneven. */
  boolean isContended(ServiceName service) {
    RelayConfiguration now = configuration.get();
    return now != null && (now.ranks().isRanked(service) || isUneven.test(service));
  }
}
