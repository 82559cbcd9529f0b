/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;

/**
 * One host of the cluster as listed by the platform, whose list lags behind. Immutable.
 *
 * @param name the name of the host, never null
 * @param address the IP address and port at which peers reach the host, such as {@code
 *     127.0.0.1:7000}, never null
 * @param dataCentre the data centre of the host, never null
 * @param phase the phase that the platform states, never null
 * @since 0.1
 */
public record HostEntry(
    HostName name, String address, DataCentreName dataCentre, HostPhase phase) {}
