/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

/** A call without a whole answer. Immutable. */
final class HttpCallException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final Sent sent;

  HttpCallException(Sent sent, String detail) {
    super(detail, null, false, false);
    this.sent = sent;
  }

  /** Whether the service may have seen the request. */
  Sent sent() {
    return sent;
  }

  /** How far a request got. */
  enum Sent {
    /** No byte of it was sent. */
    NO,
    /** Some or all of it was sent. */
    MAYBE
  }
}
