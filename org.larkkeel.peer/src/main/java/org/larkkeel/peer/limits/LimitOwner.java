/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.larkkeel.peer.membership.NodeId;

/**
 * The token buckets of one workspace at the node that owns it.
 *
 * <p>Invariant: as long as the owner stays the same, all holders together get at most the limit
 * plus one second's units. A new owner starts with full buckets. Deterministic; not safe for use by
 * several threads. Times are in nanoseconds.
 *
 * @since 0.1
 */
public final class LimitOwner {
  private static final long CONTENTION_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final FairBucket requests;
  private final FairBucket tokens;
  private final Map<NodeId, LimitGrant> lastGrants = new HashMap<>();
  private final Map<NodeId, Long> contenders = new HashMap<>();
  private long lastGrantAt;

  /**
   * Creates an owner with full buckets.
   *
   * @param limit the rates
   * @param now the current time in nanoseconds
   */
  public LimitOwner(RateLimit limit, long now) {
    this.requests = new FairBucket(limit.requestsPerSecond(), now);
    this.tokens = new FairBucket(limit.tokensPerSecond(), now);
    this.lastGrantAt = now;
  }

  /**
   * Changes the rates.
   *
   * @param limit the rates
   * @param now the current time in nanoseconds
   */
  public void setLimit(RateLimit limit, long now) {
    requests.setRate(limit.requestsPerSecond(), now);
    tokens.setRate(limit.tokensPerSecond(), now);
  }

  /**
   * Grants units to a holder, as far as the buckets have them. Idempotent: a retransmitted message
   * takes no units.
   *
   * @param now the current time in nanoseconds
   * @param holder the node that requests units
   * @param request its message
   * @return the grant; the previous one if the message is not newer than the last one answered
   */
  public LimitGrant grant(long now, NodeId holder, LimitRequest request) {
    LimitGrant last = lastGrants.get(holder);
    if (last != null && request.sequence() <= last.sequence()) {
      return last;
    }
    lastGrantAt = now;
    requests.release(request.requestsReturned(), now);
    tokens.release(request.tokensReturned(), now);
    long grantedRequests = requests.take(request.requestsWanted(), 1, now);
    long grantedTokens = tokens.take(request.tokensWanted(), request.tokensOfNext(), now);
    long retryAfter = 0;
    boolean unmet =
        grantedRequests < request.requestsWanted() || grantedTokens < request.tokensWanted();
    updateContenders(now, holder, unmet);
    if (grantedRequests < request.requestsWanted()) {
      // Every contender waits until there are units for all of them, so that the message rate does
      // not grow with their number.
      retryAfter = requests.timeUntil(contenders.size(), now);
    }
    if (grantedTokens < request.tokensWanted()) {
      retryAfter =
          Math.max(retryAfter, tokens.timeUntil(request.tokensWanted() - grantedTokens, now));
    }
    LimitGrant grant =
        new LimitGrant(
            request.workspace(), request.sequence(), grantedRequests, grantedTokens, retryAfter);
    lastGrants.put(holder, grant);
    return grant;
  }

  private void updateContenders(long now, NodeId holder, boolean unmet) {
    contenders.values().removeIf(since -> now - since > CONTENTION_NANOS);
    if (unmet) {
      contenders.put(holder, now);
    } else {
      contenders.remove(holder);
    }
  }

  /**
   * Removes a dead node. The units that it held are lost, so the limit is not exceeded.
   *
   * @param holder the node
   */
  public void removeHolder(NodeId holder) {
    lastGrants.remove(holder);
    contenders.remove(holder);
  }

  /**
   * Returns the time of the last grant that was not a retransmission.
   *
   * @return the time in nanoseconds
   */
  public long lastGrantAt() {
    return lastGrantAt;
  }
}
