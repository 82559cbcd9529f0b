/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import org.larkkeel.lib.Revision;

/**
 * Provides the configuration that this node holds to peers that pull it.
 *
 * <p>Called by several threads at once.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface ConfigSource {

  /**
   * Returns the configuration that follows a revision.
   *
   * @param from the revision that the peer holds
   * @return the next page; an empty page with the same revision if there is nothing newer
   */
  ConfigContent after(Revision from);
}
