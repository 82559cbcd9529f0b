/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import org.larkkeel.lib.AttemptId;

/**
 * One attempt at an upstream, or one claim of an at-most-once run.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Attempt {
  /** The id of the attempt. */
  public final AttemptId id;

  /** The request that the attempt serves. */
  public final RequestState request;

  /** The upstream of the attempt; null for a claim. */
  public final UpstreamState upstream;

  /** The kind of work. */
  public final AttemptKind kind;

  /** The time of the start. */
  public final long startedAt;

  /** The prompt tokens that a prefill computes; an estimate until the prefill is complete. */
  public int prefillTokens;

  /** The number of tokens that were delivered before this attempt. */
  public int resumeFrom;

  /** The time of the last order to generate; 0 before the first one. */
  public long decodeOrderedAt;

  /** The time of the first token of this attempt; 0 before that. */
  public long firstTokenAt;

  /** True if the order to generate was sent a second time because the first one was not sent. */
  public boolean decodeOrderRepeated;

  /** The prompt tokens known to be in the prefix cache at the start of a prefill. */
  public int knownCachedTokens;

  /** The number of requests at the decode engine at the start, including this one. */
  public int batchAtStart;

  /** The source of the transfer in progress; null if none. */
  UpstreamState transferSource;

  /** True if this is a prefill that has not ended. */
  boolean prefilling;

  /** True if the attempt holds a slot of its upstream. */
  boolean holdsSlot;

  /**
   * Creates an attempt.
   *
   * @param id the id of the attempt
   * @param request the request that the attempt serves
   * @param upstream the upstream; null for a claim
   * @param kind the kind of work
   * @param startedAt the time of the start
   */
  public Attempt(
      AttemptId id,
      RequestState request,
      UpstreamState upstream,
      AttemptKind kind,
      long startedAt) {
    this.id = id;
    this.request = request;
    this.upstream = upstream;
    this.kind = kind;
    this.startedAt = startedAt;
  }
}
