/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.time.Duration;

/**
 * The closed list of what a call of the object API may fail with.
 *
 * <p>All but {@link OutcomeUnknown} state that the call had no effect.
 *
 * @since 0.1
 */
public sealed interface ObjectApiFailure {

  /** There is no such object. */
  record NotFound() implements ObjectApiFailure {}

  /** An object of that name exists; nothing was created. */
  record AlreadyExists() implements ObjectApiFailure {}

  /** The object has another version than the one given; nothing was changed. */
  record Conflict() implements ObjectApiFailure {}

  /** The version to watch from, or the list token, is too old; list again. */
  record Expired() implements ObjectApiFailure {}

  /** The object is larger than the platform takes. */
  record TooLarge() implements ObjectApiFailure {}

  /**
   * The store takes no more calls now.
   *
   * @param retryAfter how long it asks to wait, never null
   */
  record Throttled(Duration retryAfter) implements ObjectApiFailure {}

  /** The store can not be reached or refuses all calls; a write had no effect. */
  record Unavailable() implements ObjectApiFailure {}

  /** The answer to a write was lost: it may or may not have taken effect, now or later. */
  record OutcomeUnknown() implements ObjectApiFailure {}

  /**
   * The store refused the call for good, or answered with something that can not be read.
   *
   * @param status the HTTP status, 0 if there was none
   */
  record Refused(int status) implements ObjectApiFailure {}
}
