/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;

/**
 * One incarnation of a node: its host and the incarnation of its process.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param host the host, never null
 * @param incarnation the incarnation, greater for a later process of the host, never null
 * @since 0.1
 */
public record NodeId(HostName host, Incarnation incarnation) {

  @Override
  public String toString() {
    return host + "/" + incarnation;
  }
}
