/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.WorkspaceName;

/**
 * Identifies a quota by what it applies to.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface QuotaKey {
  /**
   * The quota of a workspace, as configured, in calls or tokens.
   *
   * @param workspace the workspace, never null
   */
  record OfWorkspace(WorkspaceName workspace) implements QuotaKey {
    @Override
    public String toString() {
      return workspace.value();
    }
  }

  /**
   * The request rate limit that an incarnation of an upstream announces, in thousandths of a
   * request.
   *
   * @param upstream the incarnation, never null
   */
  record OfUpstream(UpstreamIncarnation upstream) implements QuotaKey {
    /** The amount that one request takes. */
    public static final long UNITS_PER_REQUEST = 1_000;
  }

  /** Returns the smallest useful amount. */
  default long unit() {
    return switch (this) {
      case OfWorkspace w -> 1;
      case OfUpstream u -> OfUpstream.UNITS_PER_REQUEST;
    };
  }

  /**
   * Returns the tolerance by which this quota may be exceeded.
   *
   * @param workspaces the tolerance of workspaces
   */
  default QuotaTolerance tolerance(QuotaTolerance workspaces) {
    return switch (this) {
      case OfWorkspace w -> workspaces;
      case OfUpstream u -> QuotaTolerance.UPSTREAMS;
    };
  }
}
