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
 * The suspects, each with the time that is left to refute.
 *
 * <p>Times are nanoseconds. Not safe for use by several threads.
 */
final class Suspicions {
  private final Map<HostName, Suspicion> byHost = new HashMap<>();

  /**
   * What is due.
   *
   * @param asked suspects to be asked once more
   * @param silent suspects that did not refute in time; they are no longer held here
   */
  record Due(List<HostName> asked, List<HostName> silent) {}

  void start(HostName host, long now, long time) {
    byHost.put(host, Suspicion.start(now, time));
  }

  void end(HostName host) {
    byHost.remove(host);
  }

  /** Gives every suspect more time, because this node stood still. */
  void shift(long time) {
    byHost.replaceAll((host, suspicion) -> suspicion.shift(time));
  }

  /** Takes the suspects to ask and those whose time is over. */
  Due takeDue(long now) {
    List<HostName> asked = new ArrayList<>();
    List<HostName> silent = new ArrayList<>();
    byHost.replaceAll(
        (host, suspicion) -> {
          if (suspicion.deadline() <= now) {
            silent.add(host);
          } else if (suspicion.askAt() <= now) {
            asked.add(host);
            return suspicion.asked();
          }
          return suspicion;
        });
    silent.forEach(byHost::remove);
    return new Due(asked, silent);
  }

  long nextDeadline() {
    long deadline = Long.MAX_VALUE;
    for (Suspicion suspicion : byHost.values()) {
      deadline = Math.min(deadline, suspicion.nextDeadline());
    }
    return deadline;
  }
}
