/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

/**
 * A refusal of a call, which is answered with an HTTP error.
 *
 * <p>Immutable, without stack trace and suppressed exceptions; safe for use by several threads.
 *
 * @since 0.1
 */
public final class RefusedException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final int status;
  private final String code;

  /**
   * Creates a refusal.
   *
   * @param status the HTTP status
   * @param code the code or reason in the body of the answer
   * @param message the error message
   */
  public RefusedException(int status, String code, String message) {
    super(message, null, false, false);
    this.status = status;
    this.code = code;
  }

  /**
   * Returns a refusal of a malformed request, with status 400.
   *
   * @param message the error message, which names the fault and the remedy
   * @return the refusal
   */
  public static RefusedException malformed(String message) {
    return new RefusedException(400, "malformed", message);
  }

  /**
   * Returns the HTTP status.
   *
   * @return the status
   */
  public int status() {
    return status;
  }

  /**
   * Returns the code or reason in the body of the answer.
   *
   * @return the code
   */
  public String code() {
    return code;
  }
}
