/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

/**
 * Decisions about calls that find no free capacity: forecasts of their waits, early rejections, and
 * the times at which rejected callers are told to return.
 *
 * <p>Invariants: a call is rejected only on a measured rate of grants; each interval of {@link
 * org.larkkeel.overload.ReturnSchedule#INTERVAL_NANOS} is promised at most the units that are
 * forecast to become free in it; a more urgent rank is never rejected by an admission level that
 * admits a less urgent one.
 *
 * <p>The relay does not use admission levels yet; {@link org.larkkeel.overload.LevelControl}
 * decides about them.
 *
 * <p>Load: a burst that offers up to twice what the engines of a service can hold, for 5 to 10
 * seconds, and the trough after it.
 *
 * <p>Bounds: one entry for each waiting call; at most {@link
 * org.larkkeel.overload.ReturnPromises#MAX_ENTRIES} promises to callers; a fixed number of
 * intervals for each service. The decision about one call takes time logarithmic in the number of
 * ranks and independent of the number of waiting calls; a review takes time linear in it.
 *
 * <p>{@link org.larkkeel.overload.GatheredCapacity} dedicates engines to calls that fit at none.
 *
 * <p>Invariant: an engine is dedicated to at most one call and a call has at most one engine; at
 * most an eighth of a service's engines, and at least one, are dedicated at a time, each for at
 * most 2 s.
 *
 * <p>Load: large calls among small ones while engines are nearly full. Small calls take each gap,
 * so that no engine ever has enough free capacity for a large call, and a large call at the head of
 * the queue holds up the calls behind it although they would fit.
 *
 * <p>Bounds: a dedicated engine forgoes at most the capacity that its call needs for at most 2 s;
 * one entry for each dedicated engine and for each call whose dedication has expired.
 *
 * <p>Everything here is deterministic: callers pass the times, in nanoseconds of a steady clock.
 */
package org.larkkeel.overload;
