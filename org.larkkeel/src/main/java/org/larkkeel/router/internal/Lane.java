/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.larkkeel.lib.WorkspaceName;

/**
 * A queue of requests with start-time fair queueing between workspaces, weighted by tokens.
 *
 * <p>Invariants: a request is in at most one lane; an idle workspace whose finish tag the virtual
 * time has reached is forgotten once there are many of them. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Lane {
  private static final double TOKENS_PER_UNIT = 1_000;
  private static final int IDLE_SLACK = 64;

  private final Map<WorkspaceName, WorkspaceQueue> queues = new HashMap<>();
  private final TreeSet<WorkspaceQueue> nonEmpty = new TreeSet<>();
  private double virtualTime;
  private long createdQueues;
  private int size;

  /**
   * Adds a request at the end of the queue of its workspace.
   *
   * @param request the request, which is in no lane
   */
  public void add(RequestState request) {
    WorkspaceQueue queue =
        queues.computeIfAbsent(
            request.call.workspace(), name -> new WorkspaceQueue(name, createdQueues++));
    if (queue.requests.isEmpty()) {
      queue.startTag = Math.max(virtualTime, queue.finishTag);
      nonEmpty.add(queue);
    }
    queue.requests.put(request.id(), request);
    request.lane = this;
    request.workspaceQueue = queue;
    size++;
  }

  /**
   * Removes a request without charging it to its workspace.
   *
   * @param request the request, in this lane
   */
  public void remove(RequestState request) {
    WorkspaceQueue queue = request.workspaceQueue;
    queue.requests.remove(request.id());
    request.lane = null;
    request.workspaceQueue = null;
    size--;
    if (queue.requests.isEmpty()) {
      nonEmpty.remove(queue);
      removeIdleQueues();
    }
  }

  /**
   * Removes a request and charges its tokens to its workspace.
   *
   * @param request the request, in this lane
   */
  public void serve(RequestState request) {
    WorkspaceQueue queue = request.workspaceQueue;
    nonEmpty.remove(queue);
    virtualTime = Math.max(virtualTime, queue.startTag);
    queue.finishTag = queue.startTag + 1 + request.contextTokens() / TOKENS_PER_UNIT;
    queue.startTag = queue.finishTag;
    queue.requests.remove(request.id());
    request.lane = null;
    request.workspaceQueue = null;
    size--;
    if (queue.requests.isEmpty()) {
      removeIdleQueues();
    } else {
      nonEmpty.add(queue);
    }
  }

  /**
   * Returns the next request to serve.
   *
   * @return the request; null if none waits
   */
  public RequestState head() {
    return nonEmpty.isEmpty() ? null : nonEmpty.first().head();
  }

  /**
   * Returns the number of requests in the lane.
   *
   * @return the number
   */
  public int size() {
    return size;
  }

  /**
   * Returns an estimate of the number of requests that are served before a new one of a workspace,
   * assuming that the workspaces take turns.
   *
   * @param workspace the workspace
   * @return the number, at most the size of the lane
   */
  public int ahead(WorkspaceName workspace) {
    WorkspaceQueue queue = queues.get(workspace);
    int ownSize = queue == null ? 0 : queue.requests.size();
    return Math.min(size, (ownSize + 1) * nonEmpty.size());
  }

  private void removeIdleQueues() {
    if (nonEmpty.isEmpty()) {
      queues.clear();
      virtualTime = 0;
      return;
    }
    if (queues.size() > 2 * nonEmpty.size() + IDLE_SLACK) {
      queues.values().removeIf(q -> q.requests.isEmpty() && q.finishTag <= virtualTime);
    }
  }
}
