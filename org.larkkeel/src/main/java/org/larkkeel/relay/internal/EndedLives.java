/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.larkkeel.lib.UpstreamLife;

/**
 * Ends what is under way at upstreams that have started again.
 *
 * <p>What is believed of an upstream ends with the {@link UpstreamState} of its life, and what is
 * only looked up by life is found no more. Here all else is undone: memory that is set aside,
 * prompts, moves, grants and attempts. Nothing is asked of the upstream itself: a handle that the
 * earlier life gave may name what belongs to another call now.
 *
 * <p>Invariant: all that names an ended life is void before the first call is placed anew. Not safe
 * for use by several threads.
 */
final class EndedLives {
  private final Rooms rooms;
  private final Evacuation evacuation;
  private final Runs runs;

  /** What is needed of the calls. */
  interface Runs {
    /** All calls in progress; a copy. */
    List<CallState> calls();

    /** An attempt has ended with the life of its upstream. */
    void lost(long at, AttemptState attempt);
  }

  EndedLives(Rooms rooms, Evacuation evacuation, Runs runs) {
    this.rooms = rooms;
    this.evacuation = evacuation;
    this.runs = runs;
  }

  /** Ends what is under way at some lives that are over. */
  void end(long at, List<UpstreamState> ended) {
    if (ended.isEmpty()) {
      return;
    }
    Set<UpstreamLife> lives =
        ended.stream().map(UpstreamState::life).collect(Collectors.toUnmodifiableSet());
    List<CallState> calls = runs.calls();
    calls.forEach(c -> forget(c, lives));
    rooms.livesEnded(lives);
    evacuation.livesEnded(at, lives);
    for (CallState c : calls) {
      if (c.attempt != null && lives.contains(c.attempt.upstream().life())) {
        runs.lost(at, c.attempt);
      }
    }
  }

  private void forget(CallState c, Set<UpstreamLife> lives) {
    if (c.home != null && lives.contains(c.home.life())) {
      c.moveOut();
    }
    if (c.prompt != null && lives.contains(c.prompt.source().life())) {
      c.prompt = null;
    }
  }
}
