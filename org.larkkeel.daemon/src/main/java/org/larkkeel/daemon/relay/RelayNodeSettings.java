/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import org.larkkeel.daemon.settings.LogLevel;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.relay.RelaySettings;

/**
 * The settings of a relay node.
 *
 * <p>Immutable and thread-safe.
 *
 * @param host the name of the node
 * @param dataCentre its data centre
 * @param callers the listener address for callers
 * @param readiness the listener address for readiness checks
 * @param metrics the listener address for metrics and operators
 * @param peer the address for messages from peers
 * @param seeds addresses of hosts on which peers may run
 * @param store the scheme, address and port of the store
 * @param storeTimeout the maximum time of a call to the store
 * @param watchTime the maximum time of a watch
 * @param router the settings of the router
 * @param prefillShare the share of the prefill upstreams in each service; 0 to give no orders
 * @param coordinatorFrom the minimum number of nodes from which a coordinator grants reservations
 *     to the calls of all
 * @param leaveTime the time for which the node still accepts calls after it was told to stop
 * @param graceTime the maximum time from the order to stop until the process exits
 * @param logLevel the minimum level of log lines
 * @since 0.1
 */
public record RelayNodeSettings(
    HostName host,
    DataCentreName dataCentre,
    InetSocketAddress callers,
    InetSocketAddress readiness,
    InetSocketAddress metrics,
    InetSocketAddress peer,
    ImmutableList<InetSocketAddress> seeds,
    URI store,
    Duration storeTimeout,
    Duration watchTime,
    RelaySettings router,
    double prefillShare,
    int coordinatorFrom,
    Duration leaveTime,
    Duration graceTime,
    LogLevel logLevel) {}
