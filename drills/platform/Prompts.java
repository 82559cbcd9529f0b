/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/** What the drills send and configure, in the platform's words. */
final class Prompts {
  /** The time that the review's configuration gives a stream. */
  static final int TIMEOUT_MILLIS = 14_000;

  private Prompts() {}

  /**
   * Returns the configuration of the review's cases, with another timeout.
   *
   * @throws IllegalStateException if it names its timeout in another way
   */
  static String configuration(int timeoutMillis) {
    String text = TwoVersions.configuration();
    String timeout = "\"timeout_ms\":" + TIMEOUT_MILLIS;
    if (!text.contains(timeout)) {
      throw new IllegalStateException("the configuration has no " + timeout);
    }
    return text.replace(timeout, "\"timeout_ms\":" + timeoutMillis);
  }

  /** Returns the first line of a request for a resumable stream. */
  static String line() {
    return "POST /lohu930/2f";
  }

  /** Returns the headers of a prompt of 5,200 tokens, of which 200 are shared with all others. */
  static String headers(String id, String ownPart, int timeoutMillis) {
    return ("X-Request-Id: %s\r\nX-Model: m\r\nX-Token-Usage: 5200,70\r\n"
            + "X-Prefix-Hash: 5c1e07a2:200,%s:5000\r\nX-Deadline-Ms: %d\r\n")
        .formatted(id, ownPart, timeoutMillis);
  }
}
