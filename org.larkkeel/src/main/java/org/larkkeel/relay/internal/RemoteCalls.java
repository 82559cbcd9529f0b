/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.relay.RoomAsk;

/**
 * The calls of other nodes that ask this one for room.
 *
 * <p>Each node tells all that it asks for, again and again, so that a message that is lost does no
 * harm: what it does not tell any more is over. Invariant: a call here waits, or has a grant. Not
 * safe for use by several threads.
 */
final class RemoteCalls {
  private final Map<HostName, Asking> nodes = new HashMap<>();
  private final WaitingRoom room;

  /** A node that asks. */
  private static final class Asking {
    private final Map<RequestId, RemoteCall> calls = new HashMap<>();
    private long at;
  }

  RemoteCalls(WaitingRoom room) {
    this.room = room;
  }

  /**
   * Takes over all that a node asks for.
   *
   * @return those that have a grant already, of which the node does not know
   */
  ImmutableList<RemoteCall> asked(
      long at, HostName node, DataCentreName place, ImmutableList<RoomAsk> asks) {
    Asking asking = nodes.computeIfAbsent(node, n -> new Asking());
    asking.at = at;
    Map<RequestId, RemoteCall> before = new HashMap<>(asking.calls);
    asking.calls.clear();
    ImmutableList.Builder<RemoteCall> granted = ImmutableList.builder();
    for (RoomAsk ask : asks) {
      RemoteCall call = before.remove(ask.call());
      if (call == null) {
        call = new RemoteCall(node, place, ask, at);
        room.add(call);
      } else if (call.home() == null) {
        call.update(ask);
      } else if (ask.without().contains(call.home().life())) {
        call.release();
        call.update(ask);
        room.add(call);
      } else {
        granted.add(call);
      }
      asking.calls.put(ask.call(), call);
    }
    before.values().forEach(this::end);
    return granted.build();
  }

  /** Takes back what was granted at lives of upstreams that are over; the calls wait again. */
  void livesEnded(Set<UpstreamLife> lives) {
    for (Asking asking : nodes.values()) {
      for (RemoteCall call : asking.calls.values()) {
        if (call.home() != null && lives.contains(call.home().life())) {
          call.release();
          room.add(call);
        }
      }
    }
  }

  /** Forgets the calls of nodes that have been silent for too long. */
  void forgetSilent(long at, long longestNanos) {
    for (Iterator<Asking> i = nodes.values().iterator(); i.hasNext(); ) {
      Asking asking = i.next();
      if (at - asking.at > longestNanos) {
        asking.calls.values().forEach(this::end);
        i.remove();
      }
    }
  }

  private void end(RemoteCall call) {
    room.remove(call);
    call.release();
  }
}
