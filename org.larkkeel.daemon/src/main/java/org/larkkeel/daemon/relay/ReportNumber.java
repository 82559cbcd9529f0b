/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

/**
 * The number of a load report, in the report itself and in the messages that answer it.
 *
 * @param number counts the reports of a node incarnation, from 1
 * @param heldMicros in an answer, the microseconds from the receipt of that report to this answer;
 *     0 in the report
 */
record ReportNumber(long number, long heldMicros) {
  /**
   * Validates the numbers.
   *
   * @throws IllegalArgumentException if a number is out of range
   */
  ReportNumber {
    if (number < 1 || heldMicros < 0) {
      throw new IllegalArgumentException("invalid report number " + number + ", " + heldMicros);
    }
  }
}
