/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.quota;

import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.lib.WorkspaceName;

/**
 * Whose quota it is.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface QuotaKey {
  /**
   * Tokens of a workspace, as configured.
   *
   * @param workspace which, never null
   */
  record OfWorkspace(WorkspaceName workspace) implements QuotaKey {
    @Override
    public String toString() {
      return workspace.value();
    }
  }

  /**
   * Requests to one life of an upstream, in thousandths, as it says itself.
   *
   * @param life which, never null
   */
  record OfUpstream(UpstreamLife life) implements QuotaKey {
    /** What one request takes. */
    public static final long REQUEST = 1_000;
  }

  /** The least amount that is of use. */
  default long unit() {
    return switch (this) {
      case OfWorkspace w -> 1;
      case OfUpstream u -> OfUpstream.REQUEST;
    };
  }

  /**
   * By how much it may be exceeded.
   *
   * @param workspaces by how much quotas of workspaces may be
   */
  default QuotaTolerance tolerance(QuotaTolerance workspaces) {
    return switch (this) {
      case OfWorkspace w -> workspaces;
      case OfUpstream u -> QuotaTolerance.UPSTREAMS;
    };
  }
}
