/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof;

/**
 * What must hold in every run.
 *
 * @since 0.1
 */
public enum Promise {
  /**
   * No engine memory is held, after a bound, for a request that is over or whose caller is gone.
   */
  MEMORY_FREED("memory freed"),
  /** Every caller gets one ending, and nothing after it. */
  ANSWERED_ONCE("answered once"),
  /** An answer is the whole answer to the caller's own request. */
  WHOLE_OWN_ANSWER("whole own answer"),
  /** A request of which "not run" is said did not run. */
  NOT_RUN_TRUE("\"not run\" is true"),
  /** A request that is not idempotent runs at most once. */
  AT_MOST_ONCE("at most once"),
  /** A leaving upstream gets no new work after a bound. */
  LEAVING_LEFT_ALONE("leaving upstream left alone"),
  /** A planned stop cuts nothing, and comes to its end. */
  STOP_CUTS_NOTHING("planned stop cuts nothing"),
  /** An accepted configuration is in force everywhere within a bound and never reverts. */
  IN_FORCE("configuration in force"),
  /**
   * Once the faults are over, requests are answered again; one whose last upstream is out of use is
   * told just that.
   */
  SERVES_AGAIN("serves again");

  private final String title;

  Promise(String title) {
    this.title = title;
  }

  /**
   * The name of the promise for people.
   *
   * @return a short phrase
   */
  public String title() {
    return title;
  }
}
