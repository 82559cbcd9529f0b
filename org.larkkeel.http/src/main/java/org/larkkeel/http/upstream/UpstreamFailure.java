/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;

/**
 * Why a request to an upstream brought no answer, or a useless one.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param cause why
 * @param exposure how far the request got
 * @param detail a few words for the log
 * @since 0.1
 */
public record UpstreamFailure(FailureCause cause, Exposure exposure, String detail) {
  /**
   * A failure after which the request may have run.
   *
   * @param cause why
   * @param detail a few words for the log
   * @return the failure
   */
  public static UpstreamFailure mayHaveRun(FailureCause cause, String detail) {
    return new UpstreamFailure(cause, Exposure.MAY_HAVE_RUN, detail);
  }

  /**
   * A failure before anything was sent.
   *
   * @param cause why
   * @param detail a few words for the log
   * @return the failure
   */
  public static UpstreamFailure notSent(FailureCause cause, String detail) {
    return new UpstreamFailure(cause, Exposure.NOT_SENT, detail);
  }
}
