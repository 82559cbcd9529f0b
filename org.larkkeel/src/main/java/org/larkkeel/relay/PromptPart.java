/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import org.larkkeel.lib.Fingerprint;

/**
 * Names one part of a prompt. Prompts that begin alike have their first parts in common.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the caller's name for the part, which follows from its content; not empty
 * @since 0.1
 */
public record PromptPart(String value) {
  private static final String DOMAIN = "prompt part";

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException if it is empty
   */
  public PromptPart {
    if (value.isEmpty()) {
      throw new IllegalArgumentException("the name of a prompt part is empty: use its identifier");
    }
  }

  /**
   * Returns the fingerprint of this part in the prompts of one service, which is equal on all
   * nodes.
   *
   * @param service the service, never null; the same part has another fingerprint in each
   */
  public Fingerprint fingerprint(ServiceName service) {
    return Fingerprint.of(DOMAIN, service.value(), value);
  }

  @Override
  public String toString() {
    return value;
  }
}
