/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof;

/**
 * A promise that was broken in a run.
 *
 * @param promise the promise
 * @param detail the observation that breaks it
 * @since 0.1
 */
public record Violation(Promise promise, String detail) {
  @Override
  public String toString() {
    return promise.title() + ": " + detail;
  }
}
