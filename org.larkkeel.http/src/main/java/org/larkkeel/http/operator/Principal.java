/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import org.larkkeel.lib.Names;

/**
 * Who holds a token.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the author in the audit trail, a valid name
 * @param role what the holder may do
 * @since 0.1
 */
public record Principal(String name, OperatorRole role) {
  /** Checks the name. */
  public Principal {
    Names.check("an operator", name);
  }
}
