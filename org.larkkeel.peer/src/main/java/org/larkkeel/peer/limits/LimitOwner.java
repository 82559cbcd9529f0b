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
 * The buckets of one workspace at its owner.
 *
 * <p>Invariant: all holders together get at most the limit and one second's worth, for as long as
 * the owner stays the same; a new owner starts with full buckets. Deterministic; not safe for use
 * by several threads. Times are nanoseconds.
 *
 * @since 0.1
 */
public final class LimitOwner {
  private static final long CONTENTION_TIME = TimeUnit.SECONDS.toNanos(1);

  private final FairBucket requests;
  private final FairBucket tokens;
  private final Map<NodeId, LimitGrant> lastGrants = new HashMap<>();
  private final Map<NodeId, Long> contenders = new HashMap<>();
  private long usedAt;

  /**
   * Creates an owner with full buckets.
   *
   * @param limit the rates
   * @param now nanoseconds
   */
  public LimitOwner(RateLimit limit, long now) {
    this.requests = new FairBucket(limit.requestsPerSecond(), now);
    this.tokens = new FairBucket(limit.tokensPerSecond(), now);
    this.usedAt = now;
  }

  /**
   * Changes the rates.
   *
   * @param limit the rates
   * @param now nanoseconds
   */
  public void setLimit(RateLimit limit, long now) {
    requests.setRate(limit.requestsPerSecond(), now);
    tokens.setRate(limit.tokensPerSecond(), now);
  }

  /**
   * Grants what an ask may have.
   *
   * @param now nanoseconds
   * @param holder who asks
   * @param ask the ask
   * @return the grant; that of before if the ask was granted already
   */
  public LimitGrant ask(long now, NodeId holder, LimitAsk ask) {
    LimitGrant last = lastGrants.get(holder);
    if (last != null && ask.sequence() <= last.sequence()) {
      return last;
    }
    usedAt = now;
    requests.giveBack(ask.requestsReturned(), now);
    tokens.giveBack(ask.tokensReturned(), now);
    long gotRequests = requests.take(ask.requestsWanted(), 1, now);
    long gotTokens = tokens.take(ask.tokensWanted(), ask.tokensOfNext(), now);
    long wait = 0;
    boolean unmet = gotRequests < ask.requestsWanted() || gotTokens < ask.tokensWanted();
    noteContender(now, holder, unmet);
    if (gotRequests < ask.requestsWanted()) {
      // Each contender waits for its turn, so that asks do not grow with their number.
      wait = requests.timeUntil(contenders.size(), now);
    }
    if (gotTokens < ask.tokensWanted()) {
      wait = Math.max(wait, tokens.timeUntil(ask.tokensWanted() - gotTokens, now));
    }
    LimitGrant grant =
        new LimitGrant(ask.workspace(), ask.sequence(), gotRequests, gotTokens, wait);
    lastGrants.put(holder, grant);
    return grant;
  }

  private void noteContender(long now, NodeId holder, boolean unmet) {
    contenders.values().removeIf(since -> now - since > CONTENTION_TIME);
    if (unmet) {
      contenders.put(holder, now);
    } else {
      contenders.remove(holder);
    }
  }

  /**
   * Forgets a dead node. What it held is lost, which errs on the safe side.
   *
   * @param holder the node
   */
  public void forget(NodeId holder) {
    lastGrants.remove(holder);
    contenders.remove(holder);
  }

  /**
   * When the last ask was granted.
   *
   * @return nanoseconds
   */
  public long usedAt() {
    return usedAt;
  }
}
