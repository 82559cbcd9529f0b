/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * What an answer says of the rate at which its upstream takes requests of all nodes together.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface RateNotice {
  /** Nothing that counts: the answer may be another's, or what it says can not be read. */
  RateNotice UNSAID = new Unsaid();

  /** Nothing that counts. */
  record Unsaid() implements RateNotice {}

  /** There is no limit. */
  record Unlimited() implements RateNotice {}

  /**
   * There is a limit for as long as answers name one.
   *
   * @param rate the limit, never null
   */
  record Limited(RequestRate rate) implements RateNotice {}
}
