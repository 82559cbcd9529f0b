/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.larkkeel.lib.HostName;

/**
 * The suspected hosts and the deadlines of their suspicions.
 *
 * <p>Times are nanoseconds. Not safe for use by several threads.
 */
final class Suspicions {
  private final Map<HostName, Suspicion> byHost = new HashMap<>();

  /**
   * The suspects for which an action is due.
   *
   * @param toPing suspects to ping again
   * @param expired suspects that did not refute in time; they are removed from the table
   */
  record Due(List<HostName> toPing, List<HostName> expired) {}

  void start(HostName host, long now, long durationNanos) {
    byHost.put(host, Suspicion.start(now, durationNanos));
  }

  void end(HostName host) {
    byHost.remove(host);
  }

  /** Postpones the deadlines of all suspicions, after a pause of this process. */
  void postpone(long delayNanos) {
    byHost.replaceAll((host, suspicion) -> suspicion.postponed(delayNanos));
  }

  /** Returns the suspects to ping, and removes and returns those whose deadline has passed. */
  Due takeDue(long now) {
    List<HostName> toPing = new ArrayList<>();
    List<HostName> expired = new ArrayList<>();
    byHost.replaceAll(
        (host, suspicion) -> {
          if (suspicion.deadline() <= now) {
            expired.add(host);
          } else if (suspicion.pingAt() <= now) {
            toPing.add(host);
            return suspicion.pinged();
          }
          return suspicion;
        });
    expired.forEach(byHost::remove);
    return new Due(toPing, expired);
  }

  long nextDeadline() {
    long deadline = Long.MAX_VALUE;
    for (Suspicion suspicion : byHost.values()) {
      deadline = Math.min(deadline, suspicion.nextDeadline());
    }
    return deadline;
  }
}
