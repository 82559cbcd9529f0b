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
public interface InFlightRequest {
  /**
   * Aborts the request and closes its connection. The request's handler gets {@code onFailure}
   * unless its last call has already been made. Repeated calls have no effect.
   */
  void abort();
}
