/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

/**
 * What the platform says of a host.
 *
 * @since 0.1
 */
public enum HostPhase {
  /** The host is there to stay. */
  LIVE,
  /** The host is about to go. */
  LEAVING
}
