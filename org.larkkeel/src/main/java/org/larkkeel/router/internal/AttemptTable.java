/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.call.RunKey;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.WorkspaceName;

/**
 * The current attempts and a bounded number of former ones.
 *
 * <p>A late event of a former attempt does not change its request, but can show that an upstream or
 * a claim is still held for it, which must then be cancelled or released. Invariant: at most {@link
 * #MAX_FORMER_ATTEMPTS} former attempts are kept; the oldest are dropped first. Not safe for use by
 * several threads.
 *
 * @since 0.1
 */
public final class AttemptTable {
  /** The maximum number of former attempts kept. */
  public static final int MAX_FORMER_ATTEMPTS = 16_384;

  /**
   * The data of an attempt that is kept after its end.
   *
   * @param request the id of the request
   * @param kind the kind of work
   * @param upstream the upstream; null for a claim
   * @param workspace the workspace of the request
   * @param runKey the run key of the request; empty if it has none
   */
  public record FormerAttempt(
      RequestId request,
      AttemptKind kind,
      UpstreamState upstream,
      WorkspaceName workspace,
      Optional<RunKey> runKey) {}

  private final Map<AttemptId, Attempt> current = new HashMap<>();
  private final Map<AttemptId, FormerAttempt> former =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<AttemptId, FormerAttempt> eldest) {
          return size() > MAX_FORMER_ATTEMPTS;
        }
      };
  private long lastId;

  /**
   * Creates a current attempt with a new id.
   *
   * @param request the request
   * @param upstream the upstream; null for a claim
   * @param kind the kind of work
   * @param now the time of the start
   * @return the attempt
   */
  public Attempt create(RequestState request, UpstreamState upstream, AttemptKind kind, long now) {
    lastId++;
    Attempt attempt = new Attempt(new AttemptId(lastId), request, upstream, kind, now);
    current.put(attempt.id, attempt);
    return attempt;
  }

  /**
   * Returns a current attempt.
   *
   * @param id the id of the attempt
   * @return the attempt; null if it is not current
   */
  public Attempt get(AttemptId id) {
    return current.get(id);
  }

  /**
   * Returns a former attempt.
   *
   * @param id the id of the attempt
   * @return the data kept of it; null if there is none
   */
  public FormerAttempt former(AttemptId id) {
    return former.get(id);
  }

  /**
   * Ends an attempt and keeps it as a former one, as something may still be held for it.
   *
   * @param attempt the attempt
   */
  public void retire(Attempt attempt) {
    if (current.remove(attempt.id) != null) {
      former.put(
          attempt.id,
          new FormerAttempt(
              attempt.request.id(),
              attempt.kind,
              attempt.upstream,
              attempt.request.call.workspace(),
              attempt.request.call.runKey()));
    }
  }

  /**
   * Ends an attempt for which nothing is held, without keeping it.
   *
   * @param attempt the attempt
   */
  public void finish(Attempt attempt) {
    current.remove(attempt.id);
  }

  /**
   * Returns the number of current attempts.
   *
   * @return the number
   */
  public int size() {
    return current.size();
  }
}
