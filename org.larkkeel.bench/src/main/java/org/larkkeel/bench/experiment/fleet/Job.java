/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.RateLimitNotice;
import org.larkkeel.relay.RelayEffect.Purpose;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.UpstreamPath;

/**
 * An attempt at an upstream.
 *
 * <p>Used by one upstream at a time. Not safe for use by several threads.
 */
final class Job {
  /** Sends attempts and receives their results. */
  interface Sender {
    /** Ends an attempt with an event. */
    void reply(Job job, LongFunction<RelayEvent> event);

    /** Reports that the prompt of an attempt is prefilled and held under a handle. */
    void promptRead(Job job, String handle);

    /** Reports an event of the stream of an attempt. */
    void event(Job job, boolean first);

    /** Ends an attempt with its complete answer. */
    void complete(Job job, LongFunction<RelayEvent> event);

    /** Reports the rate limit notice of the next answer; its request was sent by {@code sentAt}. */
    void noticed(Job job, long sentAt, RateLimitNotice rate);

    /** Returns the engine of a name, the source of a prompt transfer. */
    SimEngine engine(UpstreamName id);
  }

  final Sender sender;
  final AttemptId attempt;
  final UpstreamName upstream;
  final UpstreamPath path;
  final Purpose purpose;
  final int prompt;
  final int output;

  /** True if the request crashes the engine that starts to decode it. */
  final boolean crashesEngine;

  final List<TokenLedger.Prefill> prefills = new ArrayList<>();

  /** The number of tokens to prefill before decoding starts. */
  long tokensToPrefill;

  long generatedTokens;
  long allocatedBlocks;
  boolean isFetching;

  Job(
      Sender sender,
      AttemptId attempt,
      UpstreamName upstream,
      UpstreamPath path,
      Purpose purpose,
      int prompt,
      int output,
      boolean crashesEngine) {
    this.sender = sender;
    this.attempt = attempt;
    this.upstream = upstream;
    this.path = path;
    this.purpose = purpose;
    this.prompt = prompt;
    this.output = output;
    this.crashesEngine = crashesEngine;
  }

  boolean isDecoding() {
    return tokensToPrefill == 0 && !isFetching;
  }

  void settle(PrefillUse use) {
    prefills.forEach(r -> r.settle(use));
  }
}
