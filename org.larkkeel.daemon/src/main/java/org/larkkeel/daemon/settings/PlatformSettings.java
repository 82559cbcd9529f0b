/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.settings;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

/**
 * How to reach the platform's object API.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param url scheme, address and port
 * @param token the file that holds the bearer token, read before each call; empty without
 * @param timeout the longest time of a call
 * @param readsPerSecond this node's share of the store's reads
 * @param writesPerSecond this node's share of the store's writes
 * @since 0.1
 */
public record PlatformSettings(
    URI url, Optional<Path> token, Duration timeout, int readsPerSecond, int writesPerSecond) {}
