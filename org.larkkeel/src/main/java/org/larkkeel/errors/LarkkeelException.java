/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.errors;

/**
 * A failure of a known kind, used also to complete futures exceptionally.
 *
 * <p>Immutable except for the stack trace; safe for use by several threads.
 *
 * @since 0.1
 */
public final class LarkkeelException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorKind kind;

  /**
   * Creates a failure.
   *
   * @param kind the kind, never null
   * @param detail what failed, naming the field, the value and the remedy where there is one
   */
  public LarkkeelException(ErrorKind kind, String detail) {
    super(detail);
    this.kind = kind;
  }

  /**
   * Creates a failure with a cause.
   *
   * @param kind the kind, never null
   * @param detail what failed
   * @param cause the cause, may be null
   */
  public LarkkeelException(ErrorKind kind, String detail, Throwable cause) {
    super(detail, cause);
    this.kind = kind;
  }

  /**
   * Returns the kind of the failure.
   *
   * @return the kind, never null
   */
  public ErrorKind kind() {
    return kind;
  }
}
