/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import org.larkkeel.lib.Names;

/**
 * The name of an adapter. Immutable.
 *
 * @param value the name, never null
 * @since 0.1
 */
public record AdapterName(String value) {
  /** Checks the syntax of the name. */
  public AdapterName {
    Names.check("an adapter", value);
  }

  @Override
  public String toString() {
    return value;
  }
}
