/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import java.util.List;

/**
 * The requests that were in progress at upstreams when these crashed, as known to one node.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param requests the requests, by descending number of crashes
 * @since 0.1
 */
public record QuarantineStatus(List<Entry> requests) {
  /** Makes a defensive copy of the list. */
  public QuarantineStatus {
    requests = List.copyOf(requests);
  }

  /**
   * One suspect or quarantined request, or part of prompts.
   *
   * @param request the fingerprint of the request or part, in hexadecimal digits
   * @param scope what it is, {@code request} or {@code prompt_part}
   * @param remainingMillis the remaining time of its quarantine; 0 if it is not quarantined
   * @param lastEndMillis the time since the last crash of an upstream that had it
   * @param upstreams the upstream incarnations that crashed while they had it
   */
  public record Entry(
      String request,
      String scope,
      long remainingMillis,
      long lastEndMillis,
      List<String> upstreams) {
    /** Makes a defensive copy of the list. */
    public Entry {
      upstreams = List.copyOf(upstreams);
    }
  }
}
