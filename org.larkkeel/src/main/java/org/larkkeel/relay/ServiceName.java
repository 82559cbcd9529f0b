/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import org.larkkeel.lib.Names;

/**
 * The name of a service, which is a set of interchangeable upstreams.
 *
 * <p>Invariant: a valid name, see {@link Names}. Immutable and safe for use by several threads.
 *
 * @param value the text, never null
 * @since 0.1
 */
public record ServiceName(String value) {
  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException if the name is not valid
   */
  public ServiceName {
    Names.check("a service", value);
  }

  /**
   * Implemented explicitly because the generated {@code equals} of a record is slow until it is
   * compiled.
   */
  @Override
  public boolean equals(Object other) {
    return other instanceof ServiceName o && value.equals(o.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }

  @Override
  public String toString() {
    return value;
  }
}
