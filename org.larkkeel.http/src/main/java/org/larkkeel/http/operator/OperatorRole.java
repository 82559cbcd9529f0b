/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

/**
 * The permissions of a token; each role includes the roles declared before it.
 *
 * @since 0.1
 */
public enum OperatorRole {
  /** May read, and check changes by a dry run. */
  VIEWER,
  /** May also change the configuration and drain nodes. */
  OPERATOR;

  /**
   * Returns whether this role includes another one.
   *
   * @param required the role that an operation requires
   * @return true if this role includes the required role
   */
  public boolean allows(OperatorRole required) {
    return compareTo(required) >= 0;
  }
}
