/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.SplittableRandom;
import org.larkkeel.relay.ServiceName;

/** How long calls wait for room, and when they are to come back for it. Stateless. */
final class RoomTimes {
  private static final long MILLI = 1_000_000L;

  /** The part of the target for which a call waits for room before it is told to come back. */
  private static final double ROOM_SHARE = 0.22;

  /** As the other, of a call whose upstream was lost. */
  private static final double MOVED_ROOM_SHARE = 0.8;

  /**
   * As the other, of a stream that its caller has the beginning of: half of the pause of four
   * targets after which callers give a stream up, as the loss may have been noticed late.
   */
  private static final double BEGUN_ROOM_SHARE = 2;

  /** The part of the time it has left for which a call that came back waits for room. */
  private static final double RETURNED_ROOM_SHARE = 0.35;

  /**
   * How many times the target a call that came back waits for room: callers give a stream up that
   * has not begun by four times the target.
   */
  private static final double RETURNED_TARGETS = 3.2;

  /** When to come back for room: from this to the part of the time that is left. */
  private static final long FIRST_RETURN_MILLIS = 1_000;

  private static final double RETURN_SHARE = 0.32;

  /** Over which part of a rest those that come back after it are spread, and the least of it. */
  private static final double REST_SPREAD = 0.25;

  private static final long LEAST_SPREAD_MILLIS = 200;

  private RoomTimes() {}

  /** How long a call waits for room from now on, in nanoseconds. */
  static long wait(CallState c, long at) {
    double target = c.rule.targetMillis() * MILLI;
    if (c.isBegun()) {
      return (long) (BEGUN_ROOM_SHARE * target);
    }
    if (c.sends > 0) {
      return (long) (MOVED_ROOM_SHARE * target);
    }
    if (c.isFresh()) {
      return (long) (ROOM_SHARE * target);
    }
    return (long) Math.min(RETURNED_ROOM_SHARE * (c.deadline - at), RETURNED_TARGETS * target);
  }

  /**
   * After how many milliseconds a call is to come back whose upstreams all rest: spread over a part
   * of that time, so that not all return in the same moment.
   */
  static long restMillis(long at, long restedAt, SplittableRandom random) {
    long rest = Math.max(0, restedAt - at) / MILLI;
    return rest + 1 + random.nextLong(LEAST_SPREAD_MILLIS + (long) (REST_SPREAD * rest));
  }

  /** What a caller is told whose upstreams all rest, or take no more requests a second. */
  static String closed(ServiceName service) {
    return "all upstreams of " + service + " rest or have a limit that is used up";
  }

  /** After how many milliseconds a call that found no room is to come back. */
  static long returnMillis(CallState c, long at, SplittableRandom random) {
    long left = (c.deadline - at) / MILLI;
    long latest = Math.max(FIRST_RETURN_MILLIS + 1, (long) (RETURN_SHARE * left));
    return random.nextLong(FIRST_RETURN_MILLIS, latest);
  }
}
