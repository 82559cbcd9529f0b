/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.client;

/**
 * A complete response of a server.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param status the HTTP status
 * @param body the body
 */
record HttpResponse(int status, String body) {}
