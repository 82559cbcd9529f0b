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
 * The requests in progress on this node.
 *
 * <p>Invariant: a request is added before its arrival is submitted to the reducer and removed with
 * the last effect on it. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class RequestTable {
  private final ConcurrentMap<RequestId, RequestRecord> records = new ConcurrentHashMap<>();
  private final ConcurrentMap<RequestId, RecordedAnswer> recorded = new ConcurrentHashMap<>();
  private final AtomicLong lastId = new AtomicLong();

  /**
   * Creates the id of a new request.
   *
   * @return an id that is unique within this process
   */
  public RequestId nextId() {
    return new RequestId(lastId.incrementAndGet());
  }

  /**
   * Adds a request.
   *
   * @param request the record of the request
   */
  public void add(RequestRecord request) {
    records.put(request.call().id(), request);
  }

  /**
   * Finds a request.
   *
   * @param id the id of the request
   * @return the record; empty if the request has ended
   */
  public Optional<RequestRecord> find(RequestId id) {
    return Optional.ofNullable(records.get(id));
  }

  /**
   * Removes a request.
   *
   * @param id the id of the request
   * @return the record; empty if the request had ended before
   */
  public Optional<RequestRecord> remove(RequestId id) {
    recorded.remove(id);
    return Optional.ofNullable(records.remove(id));
  }

  /**
   * Returns the number of requests in progress.
   *
   * @return the number of requests
   */
  public int size() {
    return records.size();
  }

  /**
   * Returns the complete answer of an attempt, to be recorded for later requests with the same key.
   *
   * @param request the request
   * @param attempt the attempt that ran
   * @return the answer; empty if it is not available
   */
  public Optional<RecordedAnswer> answer(RequestId request, AttemptId attempt) {
    return find(request).flatMap(r -> r.answer(attempt));
  }

  /**
   * Stores the answer of an earlier run for {@code Effect.Replay}. Must be called before the result
   * of the claim is submitted to the reducer. Does nothing if the request has ended.
   *
   * @param request the request
   * @param answer the recorded answer
   */
  public void storeRecorded(RequestId request, RecordedAnswer answer) {
    if (records.containsKey(request)) {
      recorded.put(request, answer);
    }
  }

  /** Returns the answer stored by {@link #storeRecorded}. */
  Optional<RecordedAnswer> recorded(RequestId request) {
    return Optional.ofNullable(recorded.get(request));
  }
}
