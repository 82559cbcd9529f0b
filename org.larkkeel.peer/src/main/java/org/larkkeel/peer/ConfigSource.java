/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import org.larkkeel.lib.Revision;

/**
 * Where peers pull the configuration from: what this node holds.
 *
 * <p>Called by several threads at once.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface ConfigSource {

  /**
   * The configuration after a revision.
   *
   * @param from what the peer holds
   * @return the next page; with the same revision and no content if there is nothing newer
   */
  ConfigContent after(Revision from);
}
