/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.settings;

import org.larkkeel.http.operator.OperatorRole;

/**
 * Who may operate.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the author in the audit trail
 * @param tokenSha256 SHA-256 of the bearer token in lower case hex
 * @param role what the holder may do
 * @since 0.1
 */
public record OperatorSettings(String name, String tokenSha256, OperatorRole role) {
  @Override
  public String toString() {
    return "OperatorSettings[name=" + name + ", role=" + role + "]";
  }
}
