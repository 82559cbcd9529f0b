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
 * The configuration revision that this node and its peers hold.
 *
 * <p>Invariant: the revision of this node never gets smaller. Not safe for use by several threads.
 */
final class RevisionTable {
  private static final long REPEAT = TimeUnit.SECONDS.toNanos(1);

  private final Map<HostName, Revision> byHost = new HashMap<>();
  private Revision held = Revision.NONE;
  private Revision announced = Revision.NONE;
  private long announcedAt;

  Revision held() {
    return held;
  }

  void hold(Revision revision) {
    if (revision.isAfter(held)) {
      held = revision;
    }
  }

  Optional<Revision> of(HostName host) {
    return Optional.ofNullable(byHost.get(host));
  }

  /**
   * Notes what a peer holds.
   *
   * @return true if it is newer than what this node holds, and is to be announced now
   */
  boolean hear(HostName host, Revision revision, long now) {
    byHost.put(host, revision);
    boolean fresh = revision.isAfter(announced);
    boolean due = fresh || now - announcedAt >= REPEAT;
    if (!revision.isAfter(held) || !due) {
      return false;
    }
    announced = revision;
    announcedAt = now;
    return true;
  }

  void forget(HostName host) {
    byHost.remove(host);
  }
}
