/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.larkkeel.effect.Effect;
import org.larkkeel.event.Event;

/**
 * Lists the types of the router's events and effects, derived from the sealed hierarchies {@link
 * Event} and {@link Effect}.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class Steps {
  private Steps() {}

  /**
   * Returns all types of events and effects.
   *
   * @return the records that the sealed types permit, directly or through nested sealed types
   */
  public static ImmutableList<Class<?>> all() {
    ImmutableList.Builder<Class<?>> leaves = ImmutableList.builder();
    collect(Event.class, leaves);
    collect(Effect.class, leaves);
    return leaves.build();
  }

  /**
   * Returns the name of a step as shown on the results page.
   *
   * @param step the type
   * @return its simple name
   */
  public static String title(Class<?> step) {
    return step.getSimpleName();
  }

  private static void collect(Class<?> type, ImmutableList.Builder<Class<?>> leaves) {
    if (!type.isSealed()) {
      leaves.add(type);
      return;
    }
    List.of(type.getPermittedSubclasses()).forEach(sub -> collect(sub, leaves));
  }
}
