/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

import org.larkkeel.event.Event;

/**
 * Receives events for the reducer.
 *
 * <p>Called from several threads at once; must be thread-safe and should not block. Each event
 * carries the time at which its producer read the clock, so events of different threads may arrive
 * slightly out of order; the sink restores the reducer's invariant that times never decrease.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface EventSink {
  /**
   * Accepts an event.
   *
   * @param event the event; never null
   */
  void accept(Event event);
}
