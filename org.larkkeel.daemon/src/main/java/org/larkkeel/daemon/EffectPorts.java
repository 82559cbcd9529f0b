/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import org.larkkeel.effect.EffectSink;

/**
 * The adapters that execute effects. None of them blocks; each reports the outcome as an event.
 *
 * <p>Immutable; safe for use by several threads if the adapters are.
 *
 * @param upstreams starts and cancels attempts at upstreams
 * @param callers completes, replays, refuses and forgets requests
 * @param runs claims and records at-most-once runs
 * @param peers requests slots and limits from other nodes
 * @param timers schedules wake-ups
 * @param facts records metrics and log lines
 * @since 0.1
 */
public record EffectPorts(
    EffectSink upstreams,
    EffectSink callers,
    EffectSink runs,
    EffectSink peers,
    EffectSink timers,
    EffectSink facts) {}
