/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import org.larkkeel.lib.Labels;
import org.larkkeel.lib.RuleName;
import org.larkkeel.selector.Selector;

/**
 * Routes matching requests to pools chosen by labels.
 *
 * <p>Rules are tried by descending priority, then by name; the first match decides. Immutable and
 * safe for use by several threads.
 *
 * @param name the name, unique among rules
 * @param labels the rule's own labels
 * @param priority higher is tried first
 * @param match which requests it takes
 * @param pools chooses pools by their labels; a pool's role tells what it is used for
 * @param urgency the class of its requests
 * @param targets latency targets and deadline
 * @param repeatability how often a request may run
 * @param maxAttempts attempts in all, at least 1; 1 means no retry
 * @since 0.1
 */
public record Rule(
    RuleName name,
    Labels labels,
    int priority,
    Match match,
    Selector pools,
    Urgency urgency,
    Targets targets,
    Repeatability repeatability,
    int maxAttempts)
    implements ConfigurationObject {
  /** Attempts of a rule that names none. */
  public static final int DEFAULT_MAX_ATTEMPTS = 3;
}
