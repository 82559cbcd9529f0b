/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import java.util.Optional;

/**
 * A whole answer.
 *
 * @param status the HTTP status
 * @param retryAfter the value of {@code Retry-After}, if any
 * @param body the body, owned by the reply
 */
public record HttpReply(int status, Optional<String> retryAfter, byte[] body) {}
