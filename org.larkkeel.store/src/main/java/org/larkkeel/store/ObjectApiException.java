/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.util.Optional;
import java.util.concurrent.CompletionException;

/**
 * A failed call of the object API. Futures of {@link ObjectApi} fail only with this exception.
 *
 * <p>Immutable. It has no stack trace, since conflicts are frequent and expected.
 *
 * @since 0.1
 */
public final class ObjectApiException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient ObjectApiFailure failure;

  /**
   * Creates an exception.
   *
   * @param failure the kind of failure, never null
   * @param detail the call and the cause of its failure
   */
  public ObjectApiException(ObjectApiFailure failure, String detail) {
    super(failure + ": " + detail, null, false, false);
    this.failure = failure;
  }

  /**
   * Returns the kind of failure.
   *
   * @return the failure, never null
   */
  public ObjectApiFailure failure() {
    return failure;
  }

  /**
   * Returns the failure with which a future completed.
   *
   * @param thrown the throwable, possibly wrapped by {@link CompletionException}
   * @return the failure, empty if the throwable is of another kind
   */
  public static Optional<ObjectApiFailure> failureOf(Throwable thrown) {
    Throwable t = thrown instanceof CompletionException ? thrown.getCause() : thrown;
    return t instanceof ObjectApiException e ? Optional.of(e.failure) : Optional.empty();
  }
}
