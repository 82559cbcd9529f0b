/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

/**
 * Whether a proposal is carried out.
 *
 * @since 0.1
 */
public enum DryRun {
  /** The change is checked and accepted. */
  NO,
  /** The change is only checked. */
  YES
}
