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
 * All settings of a node, validated.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param host the name of the node, unique among its peers
 * @param dataCentre the data centre of the node
 * @param incarnation the incarnation of the node; if empty, the wall clock at the start is used
 * @param caller the listener for callers
 * @param operator the listener for operators
 * @param peer the listener for peers
 * @param peerSecret the file with the shared secret of the peers; empty if they use none
 * @param platform the platform's object API
 * @param operators the operators with their token digests and roles
 * @param limits resource limits and timeouts
 * @param router settings of the router
 * @param logLevel the minimum severity of the lines that are logged
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
