/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

/**
 * The form of a completion's answer.
 *
 * @since 0.1
 */
public enum CompletionStyle {
  /** As {@code /v1/completions} answers. */
  TEXT,
  /** As {@code /v1/chat/completions} answers. */
  CHAT
}
