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
 * The {@code X-Request-Id} of requests to upstreams: {@code {host}/{incarnation}/{attempt}}.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param origin the node incarnation that sent the request
 * @param attempt the attempt
 * @since 0.1
 */
public record EngineRequestId(Origin origin, AttemptId attempt) {
  /**
   * One incarnation of a node.
   *
   * @param host the host of the node
   * @param incarnation the incarnation
   */
  public record Origin(HostName host, Incarnation incarnation) {}

  /**
   * Parses an id; a host name may contain slashes.
   *
   * @param text the id
   * @return the parsed id; empty if it has another format, as the ids of other programs
   */
  public static Optional<EngineRequestId> parse(String text) {
    int secondSlash = text.lastIndexOf('/');
    int firstSlash = secondSlash < 0 ? -1 : text.lastIndexOf('/', secondSlash - 1);
    if (firstSlash < 0) {
      return Optional.empty();
    }
    try {
      HostName host = new HostName(text.substring(0, firstSlash));
      long incarnation = Long.parseLong(text.substring(firstSlash + 1, secondSlash));
      long attempt = Long.parseLong(text.substring(secondSlash + 1));
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
