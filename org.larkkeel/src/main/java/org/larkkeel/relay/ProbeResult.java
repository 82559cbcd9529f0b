/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * The result of probing whether a process listens at an upstream's address.
 *
 * @since 0.1
 */
public enum ProbeResult {
  /** A connection was accepted, by the known incarnation or by a later one. */
  LISTENS,

  /**
   * The connection was refused. By a tunnel, this proves that the process has ended; directly, the
   * path of this node may be broken.
   */
  REFUSES,

  /** No answer was received before the timeout, or no other node offers a tunnel. */
  SILENT
}
