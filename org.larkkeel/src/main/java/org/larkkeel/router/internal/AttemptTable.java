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
 * The attempts that are current, and for a while those that were.
 *
 * <p>A late event of an attempt that is no longer current changes nothing, but may reveal that an
 * upstream or a claim is still held, which is then given back. Invariant: at most {@link
 * #MAX_FORMER} former attempts, the oldest go first. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class AttemptTable {
  /** The most former attempts remembered. */
  public static final int MAX_FORMER = 16_384;

  /**
   * What has to be known of an attempt after its end.
   *
   * @param request its request
   * @param kind what it did
   * @param upstream where it was; null for a claim
   * @param workspace the workspace of its request
   * @param runKey the key of its request
   */
  public record Former(
      RequestId request,
      AttemptKind kind,
      UpstreamState upstream,
      WorkspaceName workspace,
      Optional<RunKey> runKey) {}

  private final Map<AttemptId, Attempt> current = new HashMap<>();
  private final Map<AttemptId, Former> former =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<AttemptId, Former> eldest) {
          return size() > MAX_FORMER;
        }
      };
  private long last;

  /**
   * Creates an attempt with a new id.
   *
   * @param request its request
   * @param upstream where it is; null for a claim
   * @param kind what it does
   * @param now when it begins
   * @return the attempt, which is current
   */
  public Attempt create(RequestState request, UpstreamState upstream, AttemptKind kind, long now) {
    last++;
    Attempt attempt = new Attempt(new AttemptId(last), request, upstream, kind, now);
    current.put(attempt.id, attempt);
    return attempt;
  }

  /**
   * Finds a current attempt.
   *
   * @param id its id
   * @return the attempt; null if it is not current
   */
  public Attempt get(AttemptId id) {
    return current.get(id);
  }

  /**
   * Finds an attempt that was current.
   *
   * @param id its id
   * @return what is remembered; null if nothing
   */
  public Former former(AttemptId id) {
    return former.get(id);
  }

  /**
   * Ends an attempt, which may still be held upstream.
   *
   * @param attempt the attempt
   */
  public void retire(Attempt attempt) {
    if (current.remove(attempt.id) != null) {
      former.put(
          attempt.id,
          new Former(
              attempt.request.id(),
              attempt.kind,
              attempt.upstream,
              attempt.request.call.workspace(),
              attempt.request.call.runKey()));
    }
  }

  /**
   * Ends an attempt of which nothing is held any more.
   *
   * @param attempt the attempt
   */
  public void finish(Attempt attempt) {
    current.remove(attempt.id);
  }

  /**
   * The number of current attempts.
   *
   * @return a count
   */
  public int size() {
    return current.size();
  }
}
