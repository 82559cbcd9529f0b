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
 * The types of events and effects, taken from the sealed types themselves.
 *
 * @since 0.1
 */
public final class Steps {
  private Steps() {}

  /**
   * All types of events and effects.
   *
   * @return the records that the sealed types permit, however deep
   */
  public static ImmutableList<Class<?>> all() {
    ImmutableList.Builder<Class<?>> leaves = ImmutableList.builder();
    collect(Event.class, leaves);
    collect(Effect.class, leaves);
    return leaves.build();
  }

  /**
   * The name of a step for people.
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
