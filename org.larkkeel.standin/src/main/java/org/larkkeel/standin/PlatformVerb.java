/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

/**
 * The kinds of calls that the platform counts separately.
 *
 * @since 0.1
 */
public enum PlatformVerb {
  /** Reading one object. */
  GET,
  /** Reading a collection. */
  LIST,
  /** Creating an object. */
  CREATE,
  /** Replacing an object. */
  UPDATE,
  /** Deleting an object. */
  DELETE,
  /** A watch, counted once regardless of its duration. */
  WATCH,
  /** A call to the weight store. */
  WEIGHTS;

  /**
   * Returns whether the verb changes an object.
   *
   * @return true for create, update and delete
   */
  public boolean isWrite() {
    return this == CREATE || this == UPDATE || this == DELETE;
  }
}
