/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import org.larkkeel.effect.EffectSink;
import org.larkkeel.event.Event;

/**
 * Applies an event to the state of the router and decides the effects.
 *
 * <p>Called on one thread only.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface Reducer {
  /**
   * Applies one event.
   *
   * @param event the event; its time is not before that of the previous event
   * @param effects receives the effects in order
   */
  void apply(Event event, EffectSink effects);
}
