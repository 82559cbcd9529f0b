/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

/**
 * The build that began a stream.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param stream the stream
 * @param service the service that runs it
 * @param build the build that began it
 * @since 0.1
 */
public record StreamBuild(StreamId stream, ServiceName service, BuildName build) {}
