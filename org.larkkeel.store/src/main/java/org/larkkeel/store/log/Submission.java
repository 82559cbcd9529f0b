/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.log;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletableFuture;

/**
 * A record that was submitted to a {@link LogWriter}. Confined to the scheduler.
 *
 * @since 0.1
 */
public final class Submission {
  private final JsonNode record;
  private final int bytes;
  private final CompletableFuture<CommitResult> result = new CompletableFuture<>();

  Submission(JsonNode record) {
    this.record = record;
    this.bytes = record.toString().length();
  }

  /**
   * Returns the outcome of the record.
   *
   * @return completes with the outcome; never fails
   */
  public CompletableFuture<CommitResult> result() {
    return result;
  }

  JsonNode record() {
    return record;
  }

  int bytes() {
    return bytes;
  }
}
