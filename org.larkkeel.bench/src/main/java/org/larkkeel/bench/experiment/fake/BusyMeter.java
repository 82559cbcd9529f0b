/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fake;

import java.util.Map;
import java.util.TreeMap;
import org.larkkeel.config.Role;

/**
 * Samples the busy share of each hardware generation while completions wait.
 *
 * <p>Prefill engines count only while decode slots are free too, since without a slot a prefill
 * would be wasted. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class BusyMeter {
  private static final double MIN_FREE_SLOT_SHARE = 0.1;

  private final Map<String, Mean> means = new TreeMap<>();

  private static final class Mean {
    private double sum;
    private long count;
  }

  void sample(Iterable<Upstream> upstreams) {
    Mean decode = new Mean();
    for (Upstream upstream : upstreams) {
      if (upstream.member.group().role() == Role.DECODE) {
        decode.sum += upstream.busyShare();
        decode.count++;
      }
    }
    boolean hasFreeSlots = decode.count > 0 && decode.sum / decode.count < 1 - MIN_FREE_SLOT_SHARE;
    for (Upstream upstream : upstreams) {
      Role role = upstream.member.group().role();
      if (role == Role.DECODE || (role == Role.PREFILL && hasFreeSlots)) {
        String key = role.name().toLowerCase(java.util.Locale.ROOT);
        Mean mean =
            means.computeIfAbsent(
                key + "/" + upstream.member.group().generation(), k -> new Mean());
        mean.sum += upstream.busyShare();
        mean.count++;
      }
    }
  }

  /**
   * Returns the mean busy shares.
   *
   * @return shares by role and generation, such as {@code decode/old}; empty if nothing waited
   */
  public Map<String, Double> shares() {
    Map<String, Double> shares = new TreeMap<>();
    means.forEach((key, mean) -> shares.put(key, mean.sum / mean.count));
    return shares;
  }
}
