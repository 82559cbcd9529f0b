/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import org.larkkeel.relay.CallSize;
import org.larkkeel.relay.PromptKey;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.ServiceBounds;

/** What calls ask of upstreams, from what callers declare. Stateless. */
final class Sizing {
  /** How much of an upstream's connections the nodes may use together. */
  private static final double CONNECTION_SHARE = 0.8;

  private static final double FULL_FRESH = 0.92;
  private static final double FULL_RETURNED = 0.88;
  private static final double FULL_LATE = 0.65;
  private static final int LEAST_CONNECTIONS = 4;

  /** The weights of the caller's estimate and of its bound in the expected output. */
  private static final double HINT_WEIGHT = 0.5;

  private static final double BOUND_WEIGHT = 0.2;
  private static final double BOUND_ALONE = 0.4;

  /** The part of the output still expected that counts: others end while it grows. */
  private static final double GROWTH = 0.5;

  /** The least output still expected, as a part of what was generated. */
  private static final double LEAST_REST = 0.25;

  /** What a call needs from its placing to its first event. */
  private static final long LEAD_NANOS = 200_000_000L;

  private Sizing() {}

  /** What running the call asks. */
  static Need run(CallState c, RelayConfiguration configuration, int nodes, long at) {
    ServiceBounds bounds = configuration.bounds(c.service);
    long units = bounds.memoryTokens() > 0 ? memory(c) : 1;
    return new Need(
        connections(bounds, nodes), units, bounds.memoryTokens(), full(c, at), c.call.prompt());
  }

  /** Calls that can not be on time any more leave room to those that can, unless they are begun. */
  private static double full(Seeker s, long at) {
    if (s.isBegun()) {
      return FULL_FRESH;
    }
    if (!s.isInTime(at)) {
      return FULL_LATE;
    }
    return s.isFresh() ? FULL_FRESH : FULL_RETURNED;
  }

  /** Whether one can still be on time if its work begins now. */
  static boolean isInTime(Seeker s, long at) {
    return at + LEAD_NANOS <= s.arrivedAt() + s.targetNanos();
  }

  /** What the call of another node asks; that node minds its own connections. */
  static Need remote(RemoteCall c, RelayConfiguration configuration, long at) {
    long memory = configuration.bounds(c.service()).memoryTokens();
    return new Need(Integer.MAX_VALUE, c.ask().units(), memory, full(c, at), c.ask().key());
  }

  /** What going on with a run asks of the upstream that it moves to. */
  static Need move(CallState c, RelayConfiguration configuration, int nodes) {
    ServiceBounds bounds = configuration.bounds(c.service);
    return new Need(
        connections(bounds, nodes), memory(c), bounds.memoryTokens(), FULL_FRESH, PromptKey.NONE);
  }

  /** What running the call asks when there is no room and it can not wait. */
  static Need forced(Need need) {
    return new Need(need.mostEach(), need.units(), 0, 1, need.prompt());
  }

  /** What reading a prompt asks. */
  static Need prompt(long tokens, int mostEach) {
    return new Need(mostEach, Math.max(1, tokens), 0, 1, PromptKey.NONE);
  }

  /** The tokens that a call holds, or soon will, at the upstream that runs it. */
  static long memory(CallState c) {
    CallSize size = c.call.size();
    double rest = Math.max(output(size) - c.generated, LEAST_REST * c.generated);
    double most = Math.max(0, size.mostOutput() - c.generated);
    return Math.max(1, size.prompt() + c.generated + Math.round(GROWTH * Math.min(rest, most)));
  }

  private static double output(CallSize size) {
    if (size.likelyOutput() == 0) {
      return BOUND_ALONE * size.mostOutput();
    }
    int hint = Math.min(size.likelyOutput(), size.mostOutput());
    return HINT_WEIGHT * hint + BOUND_WEIGHT * size.mostOutput();
  }

  /** The most requests of a node at one upstream. */
  static int connections(ServiceBounds bounds, int nodes) {
    int all = bounds.connections();
    return Math.max(LEAST_CONNECTIONS, (int) Math.min(all, CONNECTION_SHARE * all / nodes));
  }
}
