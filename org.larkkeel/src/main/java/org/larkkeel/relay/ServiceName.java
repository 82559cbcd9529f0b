/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import org.larkkeel.lib.Names;

/**
 * The name of a service, a set of upstreams of which any may answer.
 *
 * <p>Invariant: a valid name, see {@link Names}. Immutable and safe for use by several threads.
 *
 * @param value the text, never null
 * @since 0.1
 */
public record ServiceName(String value) {
  /** Checks the name. */
  public ServiceName {
    Names.check("a service", value);
  }

  /** Written out, as what a record brings is slow until it has been compiled. */
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
