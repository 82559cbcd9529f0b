/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

/**
 * The phase of a host as stated by the platform.
 *
 * @since 0.1
 */
public enum HostPhase {
  /** The host is not known to stop. */
  LIVE,
  /** The host will stop soon. */
  LEAVING
}
