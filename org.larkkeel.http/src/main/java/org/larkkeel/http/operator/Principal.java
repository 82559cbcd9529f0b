/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import org.larkkeel.lib.Names;

/**
 * The holder of an operator token.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the author's name in the audit log, valid by {@link Names}
 * @param role the role of the holder
 * @since 0.1
 */
public record Principal(String name, OperatorRole role) {
  /** Checks that the name is valid. */
  public Principal {
    Names.check("an operator", name);
  }
}
