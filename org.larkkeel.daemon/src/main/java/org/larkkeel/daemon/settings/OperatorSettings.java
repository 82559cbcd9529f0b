/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.settings;

import org.larkkeel.http.operator.OperatorRole;

/**
 * The name, the token digest and the role of an operator.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name, recorded as the author in the audit trail
 * @param tokenSha256 the SHA-256 digest of the bearer token, in lower-case hex
 * @param role the role, which determines the permitted operations
 * @since 0.1
 */
public record OperatorSettings(String name, String tokenSha256, OperatorRole role) {
  @Override
  public String toString() {
    return "OperatorSettings[name=" + name + ", role=" + role + "]";
  }
}
