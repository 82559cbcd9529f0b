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
 * What the listener towards callers needs from the rest of the node.
 *
 * <p>Every part must be safe for use by several threads and must not block.
 *
 * @param origin this start of this node, which made request ids begin with
 * @param table takes the requests
 * @param events takes arrivals and departures of callers
 * @param workspaces the workspaces in force
 * @param ready whether the node takes requests, for {@code /readyz}
 * @param scrape the text of {@code /metrics}
 * @param clock the node's monotonic clock, nanoseconds
 * @param wallClock the time that answers carry
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
