/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Revision;

/**
 * The configuration revisions that this node and its peers hold.
 *
 * <p>Invariant: the revision of this node never decreases. Times are nanoseconds. Not safe for use
 * by several threads.
 */
final class RevisionTable {
  private static final long REANNOUNCE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Map<HostName, Revision> byHost = new HashMap<>();
  private Revision held = Revision.NONE;
  private Revision announced = Revision.NONE;
  private long announcedAt;

  Revision held() {
    return held;
  }

  void setHeld(Revision revision) {
    if (revision.isAfter(held)) {
      held = revision;
    }
  }

  Optional<Revision> of(HostName host) {
    return Optional.ofNullable(byHost.get(host));
  }

  /**
   * Records the revision that a peer holds.
   *
   * @return true if it is newer than the revision of this node and is to be reported now: at once
   *     if it is newer than the last reported one, else once a second
   */
  boolean update(HostName host, Revision revision, long now) {
    byHost.put(host, revision);
    boolean notYetAnnounced = revision.isAfter(announced);
    boolean due = notYetAnnounced || now - announcedAt >= REANNOUNCE_NANOS;
    if (!revision.isAfter(held) || !due) {
      return false;
    }
    announced = revision;
    announcedAt = now;
    return true;
  }

  void remove(HostName host) {
    byHost.remove(host);
  }
}
