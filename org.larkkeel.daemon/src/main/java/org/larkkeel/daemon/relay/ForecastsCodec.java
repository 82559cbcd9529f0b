/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableSet;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import org.larkkeel.relay.ServiceName;

/**
 * Encodes and decodes the services for which the coordinator has a forecast, so that the nodes let
 * their calls wait beyond their own time-outs: the names, separated by line feeds.
 *
 * <p>Stateless and thread-safe.
 */
final class ForecastsCodec {
  private static final char SEPARATOR = '\n';

  private ForecastsCodec() {}

  static byte[] toBytes(Collection<ServiceName> services) {
    return Joiner.on(SEPARATOR).join(services).getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Decodes the names.
   *
   * @throws IllegalArgumentException if a name is invalid
   */
  static ImmutableSet<ServiceName> fromBytes(byte[] bytes) {
    return Splitter.on(SEPARATOR)
        .omitEmptyStrings()
        .splitToStream(new String(bytes, StandardCharsets.UTF_8))
        .map(ServiceName::new)
        .collect(ImmutableSet.toImmutableSet());
  }
}
