/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.caller;

import java.time.InstantSource;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.larkkeel.http.request.EventSink;
import org.larkkeel.http.request.RequestTable;
import org.larkkeel.http.upstream.EngineRequestId;

/**
 * The services of the node that the listener for callers uses.
 *
 * <p>Every component must be safe for use by several threads and must not block.
 *
 * @param origin the host and incarnation of this node, the prefix of generated request ids
 * @param table the requests in progress
 * @param events receives the arrivals of requests and the departures of callers
 * @param workspaces returns the workspaces of the current configuration
 * @param ready returns whether the node accepts requests, for {@code /readyz}
 * @param scrape returns the text of {@code /metrics}
 * @param clock the monotonic clock of the node, nanoseconds
 * @param wallClock the wall clock, for the creation time in answers
 * @since 0.1
 */
public record CallerServices(
    EngineRequestId.Origin origin,
    RequestTable table,
    EventSink events,
    Supplier<Workspaces> workspaces,
    BooleanSupplier ready,
    Supplier<String> scrape,
    LongSupplier clock,
    InstantSource wallClock) {}
