/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

/**
 * How opening a connection for a request failed.
 *
 * @since 0.1
 */
public enum ConnectFailure {
  /** No connection was being opened for the request, or the connection was opened. */
  NONE,

  /** The connection was refused, or the upstream could not be reached. */
  REFUSED,

  /** The connection was not opened in the time that the request had. */
  TIMED_OUT
}
