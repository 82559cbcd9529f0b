/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.run;

/**
 * The recorded answer of a request that has run.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body, empty if the answer had none, never null
 * @param body the body; must not be modified
 * @since 0.1
 */
@SuppressWarnings("ArrayRecordComponent")
public record RecordedAnswer(int status, String contentType, byte[] body) {}
