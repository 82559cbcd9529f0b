/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * What shows that a list of upstreams is complete, so that a build that it does not name has not
 * served.
 *
 * @since 0.1
 */
public enum ListWitness {
  /** This node has read the list from the store a moment ago. */
  STORE,

  /** Another node that has read it a moment ago knows the same build only. */
  PEER,

  /**
   * Most nodes know the same build only, though none of those asked has reached the store: what
   * they have not read, no upstream could tell.
   */
  MAJORITY,

  /** Nothing: this node may have missed a change. */
  NONE
}
