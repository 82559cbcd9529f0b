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
 * The address, the credentials and the call budget for the platform's object API.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param url scheme, address and port
 * @param token the file with the bearer token, read before each call; empty if no token is sent
 * @param timeout the timeout of a call
 * @param readsPerSecond the maximum rate of reads by this node, its share of the store's capacity
 * @param writesPerSecond the maximum rate of writes by this node, its share of the store's capacity
 * @since 0.1
 */
public record PlatformSettings(
    URI url, Optional<Path> token, Duration timeout, int readsPerSecond, int writesPerSecond) {}
