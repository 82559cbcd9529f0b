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
 * @param upstreams attempts at upstreams and their cancels
 * @param callers the ends of requests
 * @param runs claims and records of at-most-once runs
 * @param peers wants of slots and limits
 * @param timers wake-ups
 * @param facts metrics and log lines
 * @since 0.1
 */
public record EffectPorts(
    EffectSink upstreams,
    EffectSink callers,
    EffectSink runs,
    EffectSink peers,
    EffectSink timers,
    EffectSink facts) {}
