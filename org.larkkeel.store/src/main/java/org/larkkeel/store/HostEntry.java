/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;

/**
 * One host of the system, as the platform lists it with a lag. Immutable.
 *
 * @param name the host, never null
 * @param address IP number and port for the other hosts, such as {@code 127.0.0.1:7000}, never null
 * @param dataCentre where it is, never null
 * @param phase what the platform says of it, never null
 * @since 0.1
 */
public record HostEntry(
    HostName name, String address, DataCentreName dataCentre, HostPhase phase) {}
