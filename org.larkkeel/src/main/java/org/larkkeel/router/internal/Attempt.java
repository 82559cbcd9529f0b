/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import org.larkkeel.lib.AttemptId;

/**
 * One attempt that is current.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Attempt {
  /** The id. */
  public final AttemptId id;

  /** The request that it is for. */
  public final RequestState request;

  /** Where it is; null for a claim. */
  public final UpstreamState upstream;

  /** What it does. */
  public final AttemptKind kind;

  /** When it began. */
  public final long startedAt;

  /** Prompt tokens that a prefill computes; an estimate until it is complete. */
  public int tokens;

  /** Tokens passed on before this attempt. */
  public int resumeFrom;

  /** When a decode began to generate; 0 before. */
  public long decodingAt;

  /** When the first token of this attempt came; 0 before. */
  public long firstTokenAt;

  /** Whether the decode has been ordered a second time after it was refused. */
  public boolean reordered;

  /** Prompt tokens believed to be in the prefix cache at the start of a prefill. */
  public int believed;

  /** Requests that ran at the decode engine at the start, this one included. */
  public int batch;

  /** Where a transfer comes from; null if none is under way. */
  UpstreamState movingFrom;

  /** Whether it is a prefill that is not yet complete. */
  boolean computing;

  /** Whether it holds a slot of its upstream. */
  boolean holdsSlot;

  /**
   * Creates an attempt.
   *
   * @param id its id
   * @param request its request
   * @param upstream where it is; null for a claim
   * @param kind what it does
   * @param startedAt when it began
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
