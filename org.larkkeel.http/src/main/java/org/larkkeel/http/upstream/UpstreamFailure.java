/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;

/**
 * The reason why a request to an upstream got no response or an unusable one.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param cause the cause of the failure
 * @param exposure whether the request was sent and may have run
 * @param connect whether the request failed because no connection could be opened
 * @param detail a short description for the log
 * @since 0.1
 */
public record UpstreamFailure(
    FailureCause cause, Exposure exposure, ConnectFailure connect, String detail) {
  /**
   * Creates a failure after which the request may have run.
   *
   * @param cause the cause of the failure
   * @param detail a short description for the log
   * @return the failure
   */
  public static UpstreamFailure mayHaveRun(FailureCause cause, String detail) {
    return new UpstreamFailure(cause, Exposure.MAY_HAVE_RUN, ConnectFailure.NONE, detail);
  }

  /**
   * Creates a failure before any byte was sent.
   *
   * @param cause the cause of the failure
   * @param detail a short description for the log
   * @return the failure
   */
  public static UpstreamFailure notSent(FailureCause cause, String detail) {
    return new UpstreamFailure(cause, Exposure.NOT_SENT, ConnectFailure.NONE, detail);
  }

  /**
   * Creates a failure to open a connection, before any byte was sent.
   *
   * @param connect how opening the connection failed
   * @param detail a short description for the log
   * @return the failure
   */
  public static UpstreamFailure notConnected(ConnectFailure connect, String detail) {
    return new UpstreamFailure(FailureCause.CONNECT_FAILED, Exposure.NOT_SENT, connect, detail);
  }

  /**
   * Creates a failure of a request that the upstream refused to run.
   *
   * @param cause the cause of the refusal
   * @param detail a short description for the log
   * @return the failure
   */
  public static UpstreamFailure refused(FailureCause cause, String detail) {
    return new UpstreamFailure(cause, Exposure.REFUSED, ConnectFailure.NONE, detail);
  }
}
