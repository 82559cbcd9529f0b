/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof;

/**
 * A promise that a run broke.
 *
 * @param promise the promise
 * @param detail what was seen
 * @since 0.1
 */
public record Violation(Promise promise, String detail) {
  @Override
  public String toString() {
    return promise.title() + ": " + detail;
  }
}
