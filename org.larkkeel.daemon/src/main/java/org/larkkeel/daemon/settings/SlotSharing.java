/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.settings;

/**
 * How nodes share the decode slots of an upstream.
 *
 * @since 0.1
 */
public enum SlotSharing {
  /** Each node uses the free slots that the upstream reports. */
  REPORTED,
  /** The node that owns the upstream grants slots to the other nodes. */
  GRANTED
}
