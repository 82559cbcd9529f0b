/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

/**
 * What the list of hosts says of a host.
 *
 * @since 0.1
 */
public enum HostPhase {
  /** The host runs. */
  LIVE,
  /** The host will stop soon. */
  LEAVING
}
