/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

/**
 * One token of an answer.
 *
 * @param index its index in the whole answer, from 0
 * @param text its text
 * @param finishReason why the answer ends with it; empty if it goes on
 * @since 0.1
 */
public record Token(int index, String text, String finishReason) {}
