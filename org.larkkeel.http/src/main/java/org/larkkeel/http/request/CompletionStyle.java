/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

/**
 * The style of a completion's answer.
 *
 * @since 0.1
 */
public enum CompletionStyle {
  /** The style of {@code /v1/completions}. */
  TEXT,
  /** The style of {@code /v1/chat/completions}. */
  CHAT
}
