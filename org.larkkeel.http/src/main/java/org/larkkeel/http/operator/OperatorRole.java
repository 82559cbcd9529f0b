/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

/**
 * What a token allows; a later role includes the earlier ones.
 *
 * @since 0.1
 */
public enum OperatorRole {
  /** May read, and check changes. */
  VIEWER,
  /** May also change the configuration and drain nodes. */
  OPERATOR;

  /**
   * Tells whether this role is enough.
   *
   * @param needed the role that an operation needs
   * @return true if this role includes it
   */
  public boolean allows(OperatorRole needed) {
    return compareTo(needed) >= 0;
  }
}
