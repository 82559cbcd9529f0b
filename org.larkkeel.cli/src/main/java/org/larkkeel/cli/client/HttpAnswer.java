/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.client;

/**
 * The answer of a server in whole.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param status the HTTP status
 * @param body the body
 */
record HttpAnswer(int status, String body) {}
