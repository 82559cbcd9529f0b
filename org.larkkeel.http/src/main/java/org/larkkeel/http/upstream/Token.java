/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

/**
 * One token of a completion.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param index the index of the token in the completion, from 0
 * @param text the text of the token
 * @param finishReason the reason why the completion ends with this token; empty if it continues
 * @since 0.1
 */
public record Token(int index, String text, String finishReason) {}
