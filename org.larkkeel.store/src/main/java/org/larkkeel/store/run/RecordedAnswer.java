/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

/**
 * The answer of a request that has run.
 *
 * @param status the HTTP status
 * @param contentType the type of the body, empty if it had none, never null
 * @param body the body, not to be changed
 * @since 0.1
 */
@SuppressWarnings("ArrayRecordComponent")
public record RecordedAnswer(int status, String contentType, byte[] body) {}
