/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.settings;

import com.google.common.collect.ImmutableList;
import java.nio.file.Path;
import java.util.Optional;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.router.RouterSettings;

/**
 * All settings of a node, checked.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param host the name of the node, unique among its peers
 * @param dataCentre where it runs
 * @param incarnation the number of this start; empty takes the clock at the start
 * @param caller the listener towards callers
 * @param operator the listener towards operators
 * @param peer the listener towards peers
 * @param peerSecret the file that holds the secret that peers share; empty without
 * @param platform the platform's object API
 * @param operators who may operate
 * @param limits bounds
 * @param router settings of the router
 * @param logLevel what is logged
 * @since 0.1
 */
public record Settings(
    HostName host,
    DataCentreName dataCentre,
    Optional<Incarnation> incarnation,
    ListenerSettings caller,
    ListenerSettings operator,
    ListenerSettings peer,
    Optional<Path> peerSecret,
    PlatformSettings platform,
    ImmutableList<OperatorSettings> operators,
    LimitSettings limits,
    RouterSettings router,
    LogLevel logLevel) {}
