/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

/**
 * Selects whether a proposed change is applied or only checked.
 *
 * @since 0.1
 */
public enum DryRun {
  /** The change is checked and, if it is valid, accepted. */
  NO,
  /** The change is only checked. */
  YES
}
