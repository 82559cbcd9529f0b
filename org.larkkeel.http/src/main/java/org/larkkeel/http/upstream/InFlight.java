/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

/**
 * A request to an upstream that is in progress.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface InFlight {
  /**
   * Gives the request up and closes its connection. Its handler gets {@code onFailure} unless it
   * has had its last call.
   */
  void abort();
}
