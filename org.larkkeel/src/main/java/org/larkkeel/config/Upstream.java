/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import com.google.common.collect.ImmutableSet;
import org.larkkeel.lib.Labels;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.UpstreamName;

/**
 * A back-end process: a model engine or a plain service.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name, unique among upstreams
 * @param address the IP address and port, such as {@code 10.0.0.1:8000}
 * @param labels the labels that selectors match; {@link #DATA_CENTRE_LABEL} names the data centre
 * @param models the models that it is declared to serve; empty for a service
 * @param slots the number of requests that it runs at once, at least 1
 * @param fencing whether it checks fencing numbers
 * @param linkBytesPerSecond the rate of its network link for KV cache, in bytes per second, at
 *     least 1
 * @since 0.1
 */
public record Upstream(
    UpstreamName name,
    String address,
    Labels labels,
    ImmutableSet<ModelName> models,
    int slots,
    FencingSupport fencing,
    long linkBytesPerSecond)
    implements ConfigurationObject {
  /** The label that names the data centre. */
  public static final String DATA_CENTRE_LABEL = "dc";

  /** The label for the phase of the upstream, which decides whether it takes new work. */
  public static final String PHASE_LABEL = "phase";

  /** The value of {@link #PHASE_LABEL} of an upstream that takes no new work. */
  public static final String PHASE_LEAVING = "leaving";

  /** Slots of an engine whose configuration names none. */
  public static final int DEFAULT_SLOTS = 20;

  /** Link rate of an engine whose configuration names none: 10 Gbit/s. */
  public static final long DEFAULT_LINK_BYTES_PER_SECOND = 1_250_000_000L;

  /**
   * Returns whether the upstream is leaving: it receives no new work, and work in progress is
   * finished.
   *
   * @return true if its {@link #PHASE_LABEL} is {@link #PHASE_LEAVING}
   */
  public boolean isLeaving() {
    return labels.get(PHASE_LABEL).filter(PHASE_LEAVING::equals).isPresent();
  }
}
