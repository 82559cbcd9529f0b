/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The rate-limit units of one workspace at a node that receives requests of the workspace.
 *
 * <p>Requests are admitted in order of arrival as units become available. A request that would wait
 * beyond its deadline is refused at once. The holder requests units in advance in proportion to the
 * demand of the last second, and returns unused ones when the demand ends. Deterministic; not safe
 * for use by several threads. Times are in nanoseconds.
 *
 * @since 0.1
 */
public final class LimitHolder {
  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final String workspace;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private long requests;
  private long tokens;
  private long sequence;
  private Optional<LimitRequest> inFlight = Optional.empty();
  private boolean resend;
  private long nextMessageAt = Long.MIN_VALUE;
  private long windowStart;
  private long windowRequests;
  private long windowTokens;
  private long lastWindowRequests;
  private long lastWindowTokens;

  /**
   * Creates a holder without units.
   *
   * @param workspace the name of the workspace
   * @param now the current time in nanoseconds
   */
  public LimitHolder(String workspace, long now) {
    this.workspace = workspace;
    this.windowStart = now;
  }

  private record Waiting(long id, long tokens, long deadline) {}

  /**
   * The decision on one request.
   *
   * @param id the request
   * @param admitted true if the request may run
   * @param retryAfter the nanoseconds after which a refused request may be retried; 0 if admitted
   */
  public record Outcome(long id, boolean admitted, long retryAfter) {}

  /**
   * Adds a request, which is admitted or refused now or later.
   *
   * @param now the current time in nanoseconds
   * @param id identifies the request at this node
   * @param promptTokens the number of its prompt tokens
   * @param deadline the time until which the request can wait, in nanoseconds
   * @return the decisions made now, on this request or earlier ones
   */
  public List<Outcome> acquire(long now, long id, long promptTokens, long deadline) {
    waiting.addLast(new Waiting(id, promptTokens, deadline));
    windowRequests++;
    windowTokens += promptTokens;
    List<Outcome> outcomes = admit();
    outcomes.addAll(refuseUnservable());
    return outcomes;
  }

  /**
   * Adds the units of a grant.
   *
   * @param now the current time in nanoseconds
   * @param grant the grant; ignored unless it answers the message in flight
   * @return the decisions made now
   */
  public List<Outcome> onGrant(long now, LimitGrant grant) {
    if (inFlight.isEmpty() || inFlight.get().sequence() != grant.sequence()) {
      return List.of();
    }
    inFlight = Optional.empty();
    requests += grant.requests();
    tokens += grant.tokens();
    nextMessageAt = now + grant.retryAfter();
    List<Outcome> outcomes = admit();
    outcomes.addAll(refuseUnservable());
    return outcomes;
  }

  /**
   * Refuses requests whose deadline has passed, and starts a new window for counting demand if the
   * current one is over.
   *
   * @param now the current time in nanoseconds
   * @return the decisions made now
   */
  public List<Outcome> tick(long now) {
    if (now - windowStart >= WINDOW_NANOS) {
      lastWindowRequests = windowRequests;
      lastWindowTokens = windowTokens;
      windowRequests = 0;
      windowTokens = 0;
      windowStart = now;
    }
    List<Outcome> outcomes = new ArrayList<>();
    Iterator<Waiting> entries = waiting.iterator();
    while (entries.hasNext()) {
      Waiting entry = entries.next();
      if (entry.deadline() <= now) {
        entries.remove();
        outcomes.add(new Outcome(entry.id(), false, Math.max(0, nextMessageAt - now)));
      }
    }
    return outcomes;
  }

  /**
   * Returns the message to send to the owner, if one is due. Called once per flush.
   *
   * @param now the current time in nanoseconds
   * @param flushPeriod the nanoseconds between two flushes; determines the units requested in
   *     advance
   * @return the message, empty if there is nothing to request or return
   */
  public Optional<LimitRequest> nextMessage(long now, long flushPeriod) {
    if (inFlight.isPresent()) {
      boolean retransmit = resend;
      resend = false;
      return retransmit ? inFlight : Optional.empty();
    }
    long advanceRequests = unitsInAdvance(lastWindowRequests, flushPeriod);
    long advanceTokens = unitsInAdvance(lastWindowTokens, flushPeriod);
    long wantedRequests = waiting.size() + advanceRequests - requests;
    long wantedTokens = waitingTokens() + advanceTokens - tokens;
    boolean needed = !waiting.isEmpty() || wantedRequests > advanceRequests / 2;
    boolean surplus = waiting.isEmpty() && lastWindowRequests + windowRequests == 0;
    if (surplus && (requests > 0 || tokens > 0)) {
      return createMessage(0, 0);
    }
    if (!needed || nextMessageAt > now || (wantedRequests <= 0 && wantedTokens <= 0)) {
      return Optional.empty();
    }
    return createMessage(Math.max(0, wantedRequests), Math.max(0, wantedTokens));
  }

  private Optional<LimitRequest> createMessage(long wantedRequests, long wantedTokens) {
    boolean returnAll = wantedRequests == 0 && wantedTokens == 0;
    long returnedRequests = returnAll ? requests : 0;
    long returnedTokens = returnAll ? tokens : 0;
    requests -= returnedRequests;
    tokens -= returnedTokens;
    long nextTokens = waiting.isEmpty() ? 0 : waiting.peekFirst().tokens();
    sequence++;
    inFlight =
        Optional.of(
            new LimitRequest(
                workspace,
                sequence,
                wantedRequests,
                wantedTokens,
                returnedRequests,
                returnedTokens,
                nextTokens));
    return inFlight;
  }

  /** Sends the message in flight again at the next flush, since it or its answer may be lost. */
  public void messageLost() {
    resend = true;
  }

  /**
   * Drops the message in flight, since another node owns the workspace now. A new one is sent if
   * units are still needed.
   */
  public void ownerChanged() {
    inFlight = Optional.empty();
    resend = false;
  }

  /** Returns the demand of two flushes at the last window's rate, rounded down to whole units. */
  private static long unitsInAdvance(long lastWindowUnits, long flushPeriod) {
    return 2 * lastWindowUnits * flushPeriod / WINDOW_NANOS;
  }

  private long waitingTokens() {
    long sum = 0;
    for (Waiting entry : waiting) {
      sum += entry.tokens();
    }
    return sum;
  }

  private List<Outcome> admit() {
    List<Outcome> outcomes = new ArrayList<>();
    while (!waiting.isEmpty() && requests >= 1 && tokens >= waiting.peekFirst().tokens()) {
      Waiting next = waiting.removeFirst();
      requests--;
      tokens -= next.tokens();
      outcomes.add(new Outcome(next.id(), true, 0));
    }
    return outcomes;
  }

  private List<Outcome> refuseUnservable() {
    List<Outcome> outcomes = new ArrayList<>();
    Iterator<Waiting> entries = waiting.iterator();
    while (entries.hasNext()) {
      Waiting entry = entries.next();
      if (entry.deadline() < nextMessageAt) {
        entries.remove();
        outcomes.add(new Outcome(entry.id(), false, nextMessageAt - entry.deadline()));
      }
    }
    return outcomes;
  }

  /**
   * Returns whether no request waits, no units are held and no message is in flight.
   *
   * @return true if the holder may be dropped
   */
  public boolean isIdle() {
    return waiting.isEmpty() && inFlight.isEmpty() && requests == 0 && tokens == 0;
  }
}
