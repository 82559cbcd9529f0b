/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import java.time.Duration;

/**
 * The kinds of failures of a call of the object API.
 *
 * <p>For all kinds but {@link OutcomeUnknown} the call had no effect.
 *
 * @since 0.1
 */
public sealed interface ObjectApiFailure {

  /** The object does not exist. */
  record NotFound() implements ObjectApiFailure {}

  /** An object of that name exists; nothing was created. */
  record AlreadyExists() implements ObjectApiFailure {}

  /** The object does not have the expected version; nothing was changed. */
  record Conflict() implements ObjectApiFailure {}

  /** The version to watch from, or the list token, is too old; the caller must list again. */
  record Expired() implements ObjectApiFailure {}

  /** The object exceeds the maximum size. */
  record TooLarge() implements ObjectApiFailure {}

  /**
   * The store, or the node's own call budget, accepts no more calls now.
   *
   * @param retryAfter the time to wait before a retry, never null
   */
  record Throttled(Duration retryAfter) implements ObjectApiFailure {}

  /** The store is unreachable or rejects all calls; a write had no effect. */
  record Unavailable() implements ObjectApiFailure {}

  /** The answer to a write was lost; it is unknown whether the write took effect or still will. */
  record OutcomeUnknown() implements ObjectApiFailure {}

  /**
   * The store refused the call permanently, or its answer cannot be read.
   *
   * @param status the HTTP status, 0 if there was none
   */
  record Refused(int status) implements ObjectApiFailure {}
}
