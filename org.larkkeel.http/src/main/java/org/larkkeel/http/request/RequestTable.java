/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;

/**
 * The requests of callers that are in progress on this node.
 *
 * <p>Invariant: a request is in the table from before its arrival is told to the reducer until the
 * last effect on it. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class RequestTable {
  private final ConcurrentMap<RequestId, RequestRecord> records = new ConcurrentHashMap<>();
  private final ConcurrentMap<RequestId, RecordedAnswer> recorded = new ConcurrentHashMap<>();
  private final AtomicLong lastId = new AtomicLong();

  /**
   * Makes the id of a new request.
   *
   * @return an id that is unique in this process
   */
  public RequestId nextId() {
    return new RequestId(lastId.incrementAndGet());
  }

  /**
   * Adds a request.
   *
   * @param request its record
   */
  public void add(RequestRecord request) {
    records.put(request.call().id(), request);
  }

  /**
   * Finds a request.
   *
   * @param id its id
   * @return the record; empty if it has ended
   */
  public Optional<RequestRecord> find(RequestId id) {
    return Optional.ofNullable(records.get(id));
  }

  /**
   * Takes a request out of the table.
   *
   * @param id its id
   * @return the record; empty if it had ended before
   */
  public Optional<RequestRecord> remove(RequestId id) {
    recorded.remove(id);
    return Optional.ofNullable(records.remove(id));
  }

  /**
   * Counts the requests.
   *
   * @return requests in progress
   */
  public int size() {
    return records.size();
  }

  /**
   * The whole answer of an attempt, to be recorded for later requests with the same key.
   *
   * @param request the request
   * @param attempt the attempt that ran
   * @return the answer; empty if it is not at hand
   */
  public Optional<RecordedAnswer> answer(RequestId request, AttemptId attempt) {
    return find(request).flatMap(r -> r.answer(attempt));
  }

  /**
   * Keeps the answer of an earlier run at hand for {@code Replay}. To be called before the claim is
   * told to the reducer.
   *
   * @param request the request
   * @param answer the recorded answer
   */
  public void keepRecorded(RequestId request, RecordedAnswer answer) {
    if (records.containsKey(request)) {
      recorded.put(request, answer);
    }
  }

  /** The recorded answer that was kept for a request. */
  Optional<RecordedAnswer> recorded(RequestId request) {
    return Optional.ofNullable(recorded.get(request));
  }
}
