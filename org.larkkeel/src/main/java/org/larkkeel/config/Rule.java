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
 * Routes matching requests to pools that are selected by their labels.
 *
 * <p>Rules are tried by descending priority, then by name; the first match decides. Immutable and
 * safe for use by several threads.
 *
 * @param name the name, unique among rules
 * @param labels the rule's own labels
 * @param priority the priority; rules of higher priority are tried first
 * @param match the condition on its requests
 * @param pools selects pools by their labels; a pool is used according to its role
 * @param urgency the urgency of its requests
 * @param targets latency targets and deadline
 * @param repeatability whether a request may be run more than once
 * @param maxAttempts the maximum number of attempts per request, at least 1; 1 means no retry
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
  /** The maximum number of attempts of a rule that names none. */
  public static final int DEFAULT_MAX_ATTEMPTS = 3;
}
