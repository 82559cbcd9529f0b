/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import java.util.Optional;
import org.larkkeel.lib.ModelName;
import org.larkkeel.selector.Selector;

/**
 * The condition on the requests that a rule applies to; all parts that are present must hold.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param model the requested model; empty matches any request
 * @param pathPrefix the beginning of the path of a plain call; empty matches any request
 * @param workspaces selects the callers' workspaces by their labels; {@link Selector#ALL} matches
 *     any
 * @since 0.1
 */
public record Match(Optional<ModelName> model, Optional<String> pathPrefix, Selector workspaces) {}
