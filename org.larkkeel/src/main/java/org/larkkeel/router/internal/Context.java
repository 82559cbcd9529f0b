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
 * The state that all components of the router share: the settings, the time of the current event,
 * the effect sink, the timers and the random source.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Context {
  private static final EffectSink DISCARD = effect -> {};

  private final RouterSettings settings;
  private final SplittableRandom random;
  private final TimerQueue timers = new TimerQueue();
  private EffectSink sink = DISCARD;
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
   * Starts the processing of an event.
   *
   * @param eventTime the time of the event; an earlier time than that of the previous event is
   *     replaced by the latter
   * @param effectSink receives the effects of the event
   */
  public void begin(long eventTime, EffectSink effectSink) {
    now = Math.max(now, eventTime);
    sink = effectSink;
    if (wakeAt <= now) {
      wakeAt = TimerQueue.NEVER;
    }
  }

  /**
   * Ends the processing of an event. Emits a wake effect if the next timer is due before the wake
   * that was last requested.
   */
  public void end() {
    long nextTimer = timers.next();
    if (nextTimer < wakeAt) {
      wakeAt = nextTimer;
      sink.accept(new Effect.Wake(nextTimer));
    }
    sink = DISCARD;
  }

  /**
   * Returns the time of the current event.
   *
   * @return nanoseconds on the node's clock
   */
  public long now() {
    return now;
  }

  /**
   * Returns the settings.
   *
   * @return the settings, not null
   */
  public RouterSettings settings() {
    return settings;
  }

  /**
   * Returns the source of random choices.
   *
   * @return the seeded source
   */
  public SplittableRandom random() {
    return random;
  }

  /**
   * Returns the timers.
   *
   * @return the timer queue
   */
  public TimerQueue timers() {
    return timers;
  }

  /**
   * Emits an effect.
   *
   * @param effect the effect
   */
  public void emit(Effect effect) {
    sink.accept(effect);
  }

  /**
   * Emits a fact, to be counted and logged.
   *
   * @param fact the fact
   */
  public void report(Fact fact) {
    sink.accept(new Effect.Report(fact));
  }
}
