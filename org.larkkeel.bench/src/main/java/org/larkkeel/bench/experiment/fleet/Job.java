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

/** One attempt at an engine. Used by one engine at a time; not safe for use by several threads. */
final class Job {
  /** Who has sent it, and hears what becomes of it. */
  interface Sender {
    /** Says something of an attempt, which ends with it. */
    void reply(Job job, LongFunction<RelayEvent> event);

    /** Its prompt is read and kept under a handle. */
    void promptRead(Job job, String handle);

    /** An event of its stream. */
    void event(Job job, boolean first);

    /** Its answer is whole. */
    void complete(Job job, LongFunction<RelayEvent> event);

    /** The answer that follows says something of its upstream; its request was sent by a time. */
    void noticed(Job job, long sentAt, RateLimitNotice rate);

    /** The engine of a name, from which a prompt is fetched. */
    SimEngine engine(UpstreamName id);
  }

  final Sender sender;
  final AttemptId attempt;
  final UpstreamName upstream;
  final Purpose purpose;
  final int prompt;
  final int output;

  /** Whether it ends the engine that begins to run it. */
  final boolean crashes;

  final List<TokenLedger.Reading> readings = new ArrayList<>();

  /** Tokens that are still to be read before it generates. */
  long toRead;

  long generated;
  long blocks;
  boolean fetching;

  Job(
      Sender sender,
      AttemptId attempt,
      UpstreamName upstream,
      Purpose purpose,
      int prompt,
      int output,
      boolean crashes) {
    this.sender = sender;
    this.attempt = attempt;
    this.upstream = upstream;
    this.purpose = purpose;
    this.prompt = prompt;
    this.output = output;
    this.crashes = crashes;
  }

  boolean isDecoding() {
    return toRead == 0 && !fetching;
  }

  void settle(ReadCause cause) {
    readings.forEach(r -> r.settle(cause));
  }
}
