/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.larkkeel.event.Event;
import org.larkkeel.http.upstream.EngineRequestId.Origin;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.peer.membership.Member;
import org.larkkeel.peer.membership.MemberState;
import org.larkkeel.peer.membership.NodeAddress;
import org.larkkeel.peer.membership.NodeId;
import org.testng.annotations.Test;

/** Tests of {@link PeerAdapter}. */
public class PeerAdapterTest {
  private static final Origin SELF = origin("self", 5);

  private static Origin origin(String host, long incarnation) {
    return new Origin(new HostName(host), new Incarnation(incarnation));
  }

  private static Member member(Origin origin, MemberState state) {
    NodeId id = new NodeId(origin.host(), origin.incarnation());
    NodeAddress address = NodeAddress.parse("127.0.0.1:7000");
    return Member.live(id, address, new DataCentreName("dc")).withState(state);
  }

  /** Node incarnations that have ended; only their requests may be swept as orphans. */
  public static class Ended {
    private final List<Event> events = new ArrayList<>();
    private final PeerAdapter adapter = new PeerAdapter(SELF, events::add, () -> 1);

    @Test
    public void deadIncarnationIsKnownAndNextOneIsLive() {
      adapter.memberChanged(member(origin("a", 1), MemberState.LIVE), false);
      adapter.memberChanged(member(origin("a", 1), MemberState.DEAD), false);
      adapter.memberChanged(member(origin("a", 2), MemberState.LIVE), false);
      assertTrue(adapter.isDead(origin("a", 1)));
      assertFalse(adapter.isDead(origin("a", 2)));
    }

    /** A paused node is declared dead, resumes and refutes it; its requests are not orphans. */
    @Test
    public void refutedDeathIsRevoked() {
      adapter.memberChanged(member(origin("d", 1), MemberState.LIVE), false);
      adapter.memberChanged(member(origin("d", 1), MemberState.DEAD), false);
      adapter.memberChanged(member(origin("d", 1), MemberState.LIVE), false);
      assertFalse(adapter.isDead(origin("d", 1)));
    }

    @Test
    public void newIncarnationEndsPreviousOne() {
      adapter.memberChanged(member(origin("b", 1), MemberState.LIVE), false);
      adapter.memberChanged(member(origin("b", 2), MemberState.LIVE), false);
      assertTrue(adapter.isDead(origin("b", 1)));
      assertFalse(adapter.isDead(origin("b", 2)));
      assertTrue(
          adapter.isDead(origin("self", 4)), "the previous incarnation of this node has ended");
    }

    @Test
    public void suspectUnknownAndOwnNodesAreNotDead() {
      adapter.memberChanged(member(origin("c", 1), MemberState.SUSPECT), false);
      adapter.memberChanged(member(SELF, MemberState.LEFT), true);
      assertFalse(adapter.isDead(origin("c", 1)));
      assertFalse(adapter.isDead(origin("unknown", 1)));
      assertFalse(adapter.isDead(SELF));
    }
  }

  /** Changes of the set of live nodes. */
  public static class Live {
    @Test
    public void eachChangeIsPublishedOnce() {
      List<Event> events = new ArrayList<>();
      PeerAdapter adapter = new PeerAdapter(SELF, events::add, () -> 1);
      adapter.memberChanged(member(origin("a", 1), MemberState.LIVE), false);
      adapter.memberChanged(member(origin("a", 1), MemberState.SUSPECT), false);
      adapter.memberChanged(member(origin("a", 1), MemberState.DEAD), false);
      assertEquals(
          events.stream().map(e -> ((Event.PeersChanged) e).live().size()).toList(), List.of(2, 1));
    }
  }
}
