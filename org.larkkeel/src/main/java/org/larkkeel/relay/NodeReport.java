/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamIncarnation;

/**
 * The report of another node to the reservation coordinator or its standby.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param node the reporting node
 * @param dataCentre its data centre
 * @param loads its load at each upstream
 * @param losingHandles the upstreams at which it recently observed that prefill handles are lost
 *     immediately
 * @param requests all its reservation requests; empty if this node does not grant reservations
 * @since 0.1
 */
public record NodeReport(
    HostName node,
    DataCentreName dataCentre,
    ImmutableMap<UpstreamIncarnation, Long> loads,
    ImmutableSet<UpstreamIncarnation> losingHandles,
    Optional<ImmutableList<ReservationRequest>> requests) {}
