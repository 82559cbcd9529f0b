/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import java.util.Optional;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;

/**
 * The {@code X-Request-Id} towards upstreams: {@code {host}/{incarnation}/{attempt}}.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param origin the node that sent the request
 * @param attempt the attempt
 * @since 0.1
 */
public record EngineRequestId(Origin origin, AttemptId attempt) {
  /**
   * One start of one node.
   *
   * @param host its host
   * @param incarnation the start
   */
  public record Origin(HostName host, Incarnation incarnation) {}

  /**
   * Parses an id; a host name may contain slashes.
   *
   * @param text the id
   * @return the parts; empty if another program made the id
   */
  public static Optional<EngineRequestId> parse(String text) {
    int second = text.lastIndexOf('/');
    int first = second < 0 ? -1 : text.lastIndexOf('/', second - 1);
    if (first < 0) {
      return Optional.empty();
    }
    try {
      HostName host = new HostName(text.substring(0, first));
      long incarnation = Long.parseLong(text.substring(first + 1, second));
      long attempt = Long.parseLong(text.substring(second + 1));
      return Optional.of(
          new EngineRequestId(
              new Origin(host, new Incarnation(incarnation)), new AttemptId(attempt)));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  @Override
  public String toString() {
    return origin.host() + "/" + origin.incarnation() + "/" + attempt;
  }
}
