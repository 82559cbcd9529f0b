/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.relay.RelayUpstream;

/**
 * What was seen of lives of upstreams, against which a store that comes back from a copy may say
 * what is older: that one has not ended, or does not leave.
 *
 * <p>Invariant: a life that was said to leave before the store came back leaves until it has ended.
 * Not safe for use by several threads.
 */
final class PastLives {
  /** Longer ago than any copy from which a store comes back. */
  private static final long REMEMBERED_NANOS = 60_000_000_000L;

  private final Map<UpstreamLife, Long> ended = new HashMap<>();
  private final Set<UpstreamLife> leaving = new HashSet<>();

  /** The store has come back from a copy; these upstreams were known until now. */
  void restored(Collection<RelayUpstream> known) {
    known.stream().filter(RelayUpstream::leaving).map(RelayUpstream::life).forEach(leaving::add);
  }

  /** An entry was removed; null if it named no upstream. */
  void ended(long at, RelayUpstream gone) {
    if (gone != null) {
      forgetOld(at);
      ended.put(gone.life(), at);
      leaving.remove(gone.life());
    }
  }

  private void forgetOld(long at) {
    ended.values().removeIf(since -> at - since > REMEMBERED_NANOS);
  }

  /** An entry names an upstream, and named another before; null for none. */
  void replaced(long at, RelayUpstream before, RelayUpstream now) {
    if (before != null && !before.life().equals(now.life())) {
      ended(at, before);
    }
    ended.remove(now.life());
  }

  /** Whether a life was seen to end. */
  boolean isEnded(long at, UpstreamLife life) {
    Long since = ended.get(life);
    return since != null && at - since <= REMEMBERED_NANOS;
  }

  /** What is known of an upstream that is listed. */
  RelayUpstream correct(RelayUpstream listed) {
    return leaving.contains(listed.life()) ? listed.withLeaving() : listed;
  }
}
