/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.effect;

/**
 * Takes effects in the order in which the reducer decides them.
 *
 * <p>Called on the reducer's thread; must not block.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface EffectSink {
  /**
   * Takes one effect.
   *
   * @param effect the effect, never null
   */
  void accept(Effect effect);
}
