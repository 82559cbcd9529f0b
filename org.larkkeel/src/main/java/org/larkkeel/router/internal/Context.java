/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.SplittableRandom;
import org.larkkeel.effect.Effect;
import org.larkkeel.effect.EffectSink;
import org.larkkeel.effect.Fact;
import org.larkkeel.router.RouterSettings;

/**
 * What every part of the router shares: the time of the event in work, the sink, timers and seeds.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Context {
  private static final EffectSink NOWHERE = effect -> {};

  private final RouterSettings settings;
  private final SplittableRandom random;
  private final TimerQueue timers = new TimerQueue();
  private EffectSink sink = NOWHERE;
  private long now;
  private long wakeAt = TimerQueue.NEVER;

  /**
   * Creates a context.
   *
   * @param settings the settings
   * @param seed the seed of every random choice
   */
  public Context(RouterSettings settings, long seed) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Begins the work on an event.
   *
   * @param at its time; a time before the last one counts as the last one
   * @param effects where effects go
   */
  public void begin(long at, EffectSink effects) {
    now = Math.max(now, at);
    sink = effects;
    if (wakeAt <= now) {
      wakeAt = TimerQueue.NEVER;
    }
  }

  /** Ends the work on an event and asks for a wake if an earlier one than that asked for is due. */
  public void end() {
    long next = timers.next();
    if (next < wakeAt) {
      wakeAt = next;
      sink.accept(new Effect.Wake(next));
    }
    sink = NOWHERE;
  }

  /**
   * The time of the event in work.
   *
   * @return nanoseconds
   */
  public long now() {
    return now;
  }

  /**
   * The settings.
   *
   * @return the settings
   */
  public RouterSettings settings() {
    return settings;
  }

  /**
   * The source of random choices.
   *
   * @return a seeded source
   */
  public SplittableRandom random() {
    return random;
  }

  /**
   * The timers.
   *
   * @return the queue
   */
  public TimerQueue timers() {
    return timers;
  }

  /**
   * Gives out an effect.
   *
   * @param effect the effect
   */
  public void emit(Effect effect) {
    sink.accept(effect);
  }

  /**
   * Gives out a fact.
   *
   * @param fact the fact
   */
  public void report(Fact fact) {
    sink.accept(new Effect.Report(fact));
  }
}
