/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

/**
 * The phase of a host in the list of hosts.
 *
 * @since 0.1
 */
public enum HostPhase {
  /** The host is running. */
  LIVE,
  /** The host has announced that it will stop. */
  LEAVING
}
