/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * The information in an answer about its upstream's limit on the request rate, which applies to all
 * nodes together.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface RateLimitNotice {
  /**
   * No usable information: the answer may come from another upstream, or its rate fields can not be
   * parsed.
   */
  RateLimitNotice UNKNOWN = new Unknown();

  /** No usable information about the limit. */
  record Unknown() implements RateLimitNotice {}

  /** The upstream has no limit. */
  record Unlimited() implements RateLimitNotice {}

  /**
   * The upstream has a limit, which holds for as long as its answers announce one.
   *
   * @param rate the limit, never null
   */
  record Limited(RequestRate rate) implements RateLimitNotice {}
}
