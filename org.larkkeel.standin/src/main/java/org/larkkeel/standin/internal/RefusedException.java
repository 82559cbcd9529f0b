/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

/**
 * A call that is answered with an error.
 *
 * <p>Immutable but for the stack trace, safe for use by several threads.
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
   * @param code the code or reason in the body
   * @param message what is wrong
   */
  public RefusedException(int status, String code, String message) {
    super(message, null, false, false);
    this.status = status;
    this.code = code;
  }

  /**
   * A refusal of what can not be read.
   *
   * @param message what is wrong, with the remedy
   * @return the refusal
   */
  public static RefusedException malformed(String message) {
    return new RefusedException(400, "malformed", message);
  }

  /**
   * The HTTP status.
   *
   * @return the status
   */
  public int status() {
    return status;
  }

  /**
   * The code or reason.
   *
   * @return the code
   */
  public String code() {
    return code;
  }
}
