/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.larkkeel.relay.BuildName;

/**
 * Encodes and decodes the builds to which the requests of a report are restricted: for each
 * request, by position, the name of the build and a line feed; only the line feed for a request
 * that any build may run.
 *
 * <p>Stateless and thread-safe.
 */
final class RequestBuildsCodec {
  private static final char END = '\n';

  private RequestBuildsCodec() {}

  static byte[] toBytes(List<Optional<BuildName>> builds) {
    return builds.stream()
        .map(b -> b.map(BuildName::value).orElse("") + END)
        .collect(Collectors.joining())
        .getBytes(StandardCharsets.US_ASCII);
  }

  /**
   * Decodes the builds of a number of requests.
   *
   * @throws IllegalArgumentException if the bytes are malformed or of another number of requests
   */
  static ImmutableList<Optional<BuildName>> fromBytes(byte[] bytes, int requests) {
    String[] names = new String(bytes, StandardCharsets.US_ASCII).split(String.valueOf(END), -1);
    if (names.length != requests + 1 || !names[requests].isEmpty()) {
      throw new IllegalArgumentException(
          (names.length - 1) + " builds are not those of " + requests + " requests");
    }
    ImmutableList.Builder<Optional<BuildName>> builds = ImmutableList.builder();
    for (int i = 0; i < requests; i++) {
      builds.add(names[i].isEmpty() ? Optional.empty() : Optional.of(new BuildName(names[i])));
    }
    return builds.build();
  }
}
