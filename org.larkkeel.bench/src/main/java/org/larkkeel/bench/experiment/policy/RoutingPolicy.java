/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.policy;

import org.larkkeel.effect.EffectSink;
import org.larkkeel.event.Event;

/**
 * A router under test.
 *
 * <p>Called from one thread, with times that never decrease.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface RoutingPolicy {
  /**
   * Handles an event.
   *
   * @param event the event
   * @param sink receives the resulting effects in order
   */
  void apply(Event event, EffectSink sink);
}
