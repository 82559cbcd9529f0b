/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http;

import io.undertow.util.HttpString;

/**
 * Names of the headers that larkkeel reads and writes besides the common ones.
 *
 * <p>Constants only, safe for use by several threads.
 *
 * @since 0.1
 */
public final class HeaderNames {
  /** The id of a request, accepted from the caller or made. */
  public static final HttpString REQUEST_ID = new HttpString("X-Request-Id");

  /** The caller's key for a request that runs at most once. */
  public static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");

  /** The caller's own deadline, milliseconds from arrival. */
  public static final HttpString DEADLINE_MILLIS = new HttpString("X-Larkkeel-Deadline-Millis");

  /** The workspace of a caller without a token. */
  public static final HttpString WORKSPACE = new HttpString("X-Larkkeel-Workspace");

  /** A service says with {@code true} that it did not run the call. */
  public static final HttpString NOT_RUN = new HttpString("X-Not-Run");

  private HeaderNames() {}
}
