/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * The reason why an attempt did not run.
 *
 * @since 0.1
 */
public enum RefusalCause {
  /** The request was not sent, though not for want of a connection that can be opened. */
  NOT_SENT,

  /** No connection could be opened: it was refused, or the upstream could not be reached. */
  CONNECT_REFUSED,

  /** No connection was opened in time: nothing answered. */
  CONNECT_TIMED_OUT,

  /** The upstream answered that it did not run the request. */
  DECLINED,

  /** The address belongs to another upstream, or to another incarnation of the upstream. */
  WRONG_UPSTREAM,

  /** The upstream did not tell its incarnation, and the request is for the listed one only. */
  NOT_CONFIRMED
}
