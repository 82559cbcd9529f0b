/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import java.util.List;

/**
 * The limits of requests that upstreams name, as one node knows them.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param limits one for each upstream that has one
 * @since 0.1
 */
public record LimitStatus(List<Entry> limits) {
  /** Copies the list. */
  public LimitStatus {
    limits = List.copyOf(limits);
  }

  /**
   * One upstream.
   *
   * @param upstream its name
   * @param start the start of its life
   * @param perSecond the requests a second that it takes of all nodes
   * @param ageMillis how long ago an answer has shown it, at the latest
   * @param sent requests of this node since it has known a limit
   */
  public record Entry(String upstream, long start, double perSecond, long ageMillis, long sent) {}
}
