/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import org.larkkeel.lib.RequestId;

/**
 * A rejection of a call that requested a reservation; the call has not run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param call the id of the call on its node
 * @param retryAfterMillis the time after which capacity is forecast for a retry; 0 for none
 */
record ReservationRejection(RequestId call, long retryAfterMillis) {
  /**
   * Validates the time.
   *
   * @throws IllegalArgumentException if the time is negative
   */
  ReservationRejection {
    if (retryAfterMillis < 0) {
      throw new IllegalArgumentException(
          "the Retry-After of call " + call + " is " + retryAfterMillis + " ms: use 0 or more");
    }
  }
}
