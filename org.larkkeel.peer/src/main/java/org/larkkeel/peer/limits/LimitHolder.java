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
 * The units of one workspace at a node that has its requests.
 *
 * <p>A request is admitted in the order of arrival once there are units for it. A request that
 * would wait longer than it can is refused at once. Units ahead of need are asked for as far as the
 * last second's demand suggests, and go back when the demand ends. Deterministic; not safe for use
 * by several threads. Times are nanoseconds.
 *
 * @since 0.1
 */
public final class LimitHolder {
  private static final long KEEP = TimeUnit.SECONDS.toNanos(1);

  private final String workspace;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private long requests;
  private long tokens;
  private long sequence;
  private Optional<LimitAsk> open = Optional.empty();
  private boolean resend;
  private long askAfter = Long.MIN_VALUE;
  private long windowStart;
  private long windowRequests;
  private long windowTokens;
  private long lastRequests;
  private long lastTokens;

  /**
   * Creates a holder without units.
   *
   * @param workspace whose limits
   * @param now nanoseconds
   */
  public LimitHolder(String workspace, long now) {
    this.workspace = workspace;
    this.windowStart = now;
  }

  private record Waiting(long id, long tokens, long until) {}

  /**
   * The end of a wait.
   *
   * @param id the request
   * @param admitted true if the request may run
   * @param retryAfter if not, the nanoseconds after which it may be repeated
   */
  public record Outcome(long id, boolean admitted, long retryAfter) {}

  /**
   * Asks for one request.
   *
   * @param now nanoseconds
   * @param id names the request at this node
   * @param promptTokens its prompt tokens
   * @param until how long it can wait
   * @return outcomes, with this request's if it is decided already
   */
  public List<Outcome> acquire(long now, long id, long promptTokens, long until) {
    waiting.addLast(new Waiting(id, promptTokens, until));
    windowRequests++;
    windowTokens += promptTokens;
    List<Outcome> outcomes = admit();
    outcomes.addAll(refuseHopeless());
    return outcomes;
  }

  /**
   * Takes a grant.
   *
   * @param now nanoseconds
   * @param grant the grant; ignored unless it answers the open ask
   * @return outcomes
   */
  public List<Outcome> granted(long now, LimitGrant grant) {
    if (open.isEmpty() || open.get().sequence() != grant.sequence()) {
      return List.of();
    }
    open = Optional.empty();
    requests += grant.requests();
    tokens += grant.tokens();
    askAfter = now + grant.retryAfter();
    List<Outcome> outcomes = admit();
    outcomes.addAll(refuseHopeless());
    return outcomes;
  }

  /**
   * Refuses what has waited too long, and closes the window of demand.
   *
   * @param now nanoseconds
   * @return outcomes
   */
  public List<Outcome> tick(long now) {
    if (now - windowStart >= KEEP) {
      lastRequests = windowRequests;
      lastTokens = windowTokens;
      windowRequests = 0;
      windowTokens = 0;
      windowStart = now;
    }
    List<Outcome> outcomes = new ArrayList<>();
    Iterator<Waiting> entries = waiting.iterator();
    while (entries.hasNext()) {
      Waiting entry = entries.next();
      if (entry.until() <= now) {
        entries.remove();
        outcomes.add(new Outcome(entry.id(), false, Math.max(0, askAfter - now)));
      }
    }
    return outcomes;
  }

  /**
   * The ask to send, if one is due. Called once a flush.
   *
   * @param now nanoseconds
   * @param flush the nanoseconds between two flushes, for which units are kept ahead
   * @return the ask, empty if there is nothing to ask for
   */
  public Optional<LimitAsk> ask(long now, long flush) {
    if (open.isPresent()) {
      boolean again = resend;
      resend = false;
      return again ? open : Optional.empty();
    }
    long aheadRequests = ahead(lastRequests, flush);
    long aheadTokens = ahead(lastTokens, flush);
    long wantedRequests = waiting.size() + aheadRequests - requests;
    long wantedTokens = waitingTokens() + aheadTokens - tokens;
    boolean needed = !waiting.isEmpty() || wantedRequests > aheadRequests / 2;
    boolean surplus = waiting.isEmpty() && lastRequests + windowRequests == 0;
    if (surplus && (requests > 0 || tokens > 0)) {
      return open(0, 0);
    }
    if (!needed || askAfter > now || (wantedRequests <= 0 && wantedTokens <= 0)) {
      return Optional.empty();
    }
    return open(Math.max(0, wantedRequests), Math.max(0, wantedTokens));
  }

  private Optional<LimitAsk> open(long wantedRequests, long wantedTokens) {
    boolean giveBack = wantedRequests == 0 && wantedTokens == 0;
    long returnedRequests = giveBack ? requests : 0;
    long returnedTokens = giveBack ? tokens : 0;
    requests -= returnedRequests;
    tokens -= returnedTokens;
    long next = waiting.isEmpty() ? 0 : waiting.peekFirst().tokens();
    sequence++;
    open =
        Optional.of(
            new LimitAsk(
                workspace,
                sequence,
                wantedRequests,
                wantedTokens,
                returnedRequests,
                returnedTokens,
                next));
    return open;
  }

  /** Sends the open ask again at the next flush, because it or its answer may be lost. */
  public void askLost() {
    resend = true;
  }

  /** Another node owns the workspace now: the open ask is dropped, and asked anew if needed. */
  public void ownerChanged() {
    open = Optional.empty();
    resend = false;
  }

  /** Units for two flushes at the last window's rate; none if that is less than one request. */
  private static long ahead(long inWindow, long flush) {
    return 2 * inWindow * flush / KEEP;
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

  private List<Outcome> refuseHopeless() {
    List<Outcome> outcomes = new ArrayList<>();
    Iterator<Waiting> entries = waiting.iterator();
    while (entries.hasNext()) {
      Waiting entry = entries.next();
      if (entry.until() < askAfter) {
        entries.remove();
        outcomes.add(new Outcome(entry.id(), false, askAfter - entry.until()));
      }
    }
    return outcomes;
  }

  /**
   * Tells whether nothing waits, is held or open.
   *
   * @return true if the holder may be dropped
   */
  public boolean isIdle() {
    return waiting.isEmpty() && open.isEmpty() && requests == 0 && tokens == 0;
  }
}
