/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.util.Optional;
import java.util.concurrent.CompletionException;

/**
 * A failed call of the object API. Futures of {@link ObjectApi} fail with nothing else.
 *
 * <p>Immutable, carries no stack trace: lost races are ordinary events.
 *
 * @since 0.1
 */
public final class ObjectApiException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient ObjectApiFailure failure;

  /**
   * Creates a failure.
   *
   * @param failure what happened, never null
   * @param detail the call and what is known about it
   */
  public ObjectApiException(ObjectApiFailure failure, String detail) {
    super(failure + ": " + detail, null, false, false);
    this.failure = failure;
  }

  /**
   * What happened.
   *
   * @return the failure, never null
   */
  public ObjectApiFailure failure() {
    return failure;
  }

  /**
   * Finds the failure in what a future completed with.
   *
   * @param thrown the throwable, possibly wrapped by {@link CompletionException}
   * @return the failure, empty if the throwable is of another kind
   */
  public static Optional<ObjectApiFailure> failureOf(Throwable thrown) {
    Throwable t = thrown instanceof CompletionException ? thrown.getCause() : thrown;
    return t instanceof ObjectApiException e ? Optional.of(e.failure) : Optional.empty();
  }
}
