/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * The path by which this node reaches an upstream.
 *
 * @since 0.1
 */
public enum UpstreamPath {
  /** Connections of this node to the upstream. */
  DIRECT,

  /** Connections that another node of the cluster passes on; used while direct ones fail. */
  TUNNEL
}
