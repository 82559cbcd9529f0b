/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import java.util.Optional;
import org.larkkeel.lib.Labels;
import org.larkkeel.lib.WorkspaceName;

/**
 * A group of callers that share limits and a token.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name, unique among workspaces
 * @param labels the labels that rules select workspaces by
 * @param limits the limits, which apply to the sum over all nodes
 * @param tokenSha256 SHA-256 of its bearer token in hexadecimal digits; empty if callers need no
 *     token
 * @since 0.1
 */
public record Workspace(
    WorkspaceName name, Labels labels, Limits limits, Optional<String> tokenSha256)
    implements ConfigurationObject {}
