/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.LinkedHashMap;
import java.util.Map;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.WorkspaceName;

/**
 * The requests of one workspace in one lane, in order of arrival.
 *
 * <p>The queues of a lane are ordered by start tag, then by creation.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class WorkspaceQueue implements Comparable<WorkspaceQueue> {
  final WorkspaceName workspace;
  final long sequence;
  final Map<RequestId, RequestState> requests = new LinkedHashMap<>();
  double startTag;
  double finishTag;

  WorkspaceQueue(WorkspaceName workspace, long sequence) {
    this.workspace = workspace;
    this.sequence = sequence;
  }

  RequestState head() {
    return requests.values().iterator().next();
  }

  @Override
  public int compareTo(WorkspaceQueue other) {
    int byTag = Double.compare(startTag, other.startTag);
    return byTag != 0 ? byTag : Long.compare(sequence, other.sequence);
  }

  @Override
  public boolean equals(Object other) {
    return this == other;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(sequence);
  }
}
