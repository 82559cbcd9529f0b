/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

/** Thrown if a call received no complete response. Immutable. */
final class HttpCallException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final Sent sent;

  HttpCallException(Sent sent, String detail) {
    super(detail, null, false, false);
    this.sent = sent;
  }

  /** Returns whether the service may have received the request. */
  Sent sent() {
    return sent;
  }

  /** Whether any part of a request may have been sent. */
  enum Sent {
    /** No byte of the request was sent. */
    NO,
    /** Some or all of the request may have been sent. */
    MAYBE
  }
}
