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
 * Requests that wait, served fairly between workspaces: start-time fair queueing by tokens.
 *
 * <p>Invariant: a request is in at most one lane, and a lane remembers an idle workspace only until
 * the work served has caught up with it. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Lane {
  private static final double TOKENS_PER_UNIT = 1_000;
  private static final int IDLE_SLACK = 64;

  private final Map<WorkspaceName, WorkspaceQueue> queues = new HashMap<>();
  private final TreeSet<WorkspaceQueue> busy = new TreeSet<>();
  private double virtualTime;
  private long created;
  private int size;

  /**
   * Adds a request at the end of its workspace's queue.
   *
   * @param request the request, in no lane
   */
  public void add(RequestState request) {
    WorkspaceQueue queue =
        queues.computeIfAbsent(
            request.call.workspace(), name -> new WorkspaceQueue(name, created++));
    if (queue.requests.isEmpty()) {
      queue.startTag = Math.max(virtualTime, queue.finishTag);
      busy.add(queue);
    }
    queue.requests.put(request.id(), request);
    request.lane = this;
    request.workspaceQueue = queue;
    size++;
  }

  /**
   * Takes a request out, without counting it as served.
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
      busy.remove(queue);
      forgetIdle();
    }
  }

  /**
   * Takes a request out and counts it as served.
   *
   * @param request the request, in this lane
   */
  public void serve(RequestState request) {
    WorkspaceQueue queue = request.workspaceQueue;
    busy.remove(queue);
    virtualTime = Math.max(virtualTime, queue.startTag);
    queue.finishTag = queue.startTag + 1 + request.contextTokens() / TOKENS_PER_UNIT;
    queue.startTag = queue.finishTag;
    queue.requests.remove(request.id());
    request.lane = null;
    request.workspaceQueue = null;
    size--;
    if (queue.requests.isEmpty()) {
      forgetIdle();
    } else {
      busy.add(queue);
    }
  }

  /**
   * The request to serve next.
   *
   * @return the request; null if none waits
   */
  public RequestState head() {
    return busy.isEmpty() ? null : busy.first().head();
  }

  /**
   * The number of requests that wait.
   *
   * @return a count
   */
  public int size() {
    return size;
  }

  /**
   * The number of requests that are served before a new one of a workspace, at most.
   *
   * @param workspace the workspace
   * @return a count
   */
  public int ahead(WorkspaceName workspace) {
    WorkspaceQueue own = queues.get(workspace);
    int mine = own == null ? 0 : own.requests.size();
    return Math.min(size, (mine + 1) * busy.size());
  }

  private void forgetIdle() {
    if (busy.isEmpty()) {
      queues.clear();
      virtualTime = 0;
      return;
    }
    if (queues.size() > 2 * busy.size() + IDLE_SLACK) {
      queues.values().removeIf(q -> q.requests.isEmpty() && q.finishTag <= virtualTime);
    }
  }
}
