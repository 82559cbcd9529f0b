/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof;

/**
 * A guarantee of larkkeel that must hold in every run, whatever faults are injected.
 *
 * @since 0.1
 */
public enum Promise {
  /**
   * Engines free the memory of a request within a bound after the request ended or its caller
   * disconnected.
   */
  MEMORY_FREED("memory freed"),
  /** Every caller gets exactly one end of its answer, and no data after it. */
  ANSWERED_ONCE("answered once"),
  /** An answer is complete and belongs to the caller's own request. */
  WHOLE_OWN_ANSWER("whole own answer"),
  /** A request that was refused as "not run" did not run. */
  NOT_RUN_TRUE("\"not run\" is true"),
  /** A request that is not idempotent runs at most once. */
  AT_MOST_ONCE("at most once"),
  /** An upstream gets no new work later than a bound after it was marked as leaving. */
  LEAVING_LEFT_ALONE("leaving upstream left alone"),
  /** A planned stop interrupts no request in progress, and it finishes. */
  STOP_CUTS_NOTHING("planned stop cuts nothing"),
  /**
   * Every running node applies an accepted configuration within a bound and never returns to an
   * older one.
   */
  IN_FORCE("configuration in force"),
  /**
   * After the faults have ended, requests are answered again. A request for which every upstream is
   * leaving is refused with {@code NO_UPSTREAM}.
   */
  SERVES_AGAIN("serves again");

  private final String title;

  Promise(String title) {
    this.title = title;
  }

  /**
   * Returns the name of the promise as shown on the results page.
   *
   * @return a short phrase
   */
  public String title() {
    return title;
  }
}
