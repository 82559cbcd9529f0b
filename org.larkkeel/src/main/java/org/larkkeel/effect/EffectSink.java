/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.effect;

/**
 * Receives effects in the order in which the reducer emits them.
 *
 * <p>Called on the reducer's thread; must not block.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface EffectSink {
  /**
   * Receives one effect.
   *
   * @param effect the effect, never null
   */
  void accept(Effect effect);
}
