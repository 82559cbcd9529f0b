/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.larkkeel.lib.Revision;
import org.larkkeel.peer.membership.Member;
import org.larkkeel.peer.membership.MemberState;
import org.testng.annotations.Test;

/** Tests of {@link PeerNode} on loopback. */
public class PeerNodeTest {
  private static final long PATIENCE_SECONDS = 30;

  private static void await(CountDownLatch latch, String message) throws InterruptedException {
    assertTrue(latch.await(PATIENCE_SECONDS, TimeUnit.SECONDS), message);
  }

  /** Nodes that find each other. */
  public static class Cluster {
    @Test
    public void nodesJoinAndTellOfStop() throws IOException, InterruptedException {
      int count = 4;
      Set<String> seen = ConcurrentHashMap.newKeySet();
      CountDownLatch pairs = new CountDownLatch(count * (count - 1));
      // The stopping node tells its own listener as well.
      CountDownLatch stops = new CountDownLatch(count);
      PeerListener listener =
          new PeerListener() {
            @Override
            public void memberChanged(Member member, boolean leaving) {
              String key = Thread.currentThread().threadId() + " " + member.id();
              if (member.state() == MemberState.LIVE && seen.add(key)) {
                pairs.countDown();
              }
              if (member.state() == MemberState.LEFT && seen.add("left " + key)) {
                stops.countDown();
              }
            }
          };
      List<PeerNode> nodes = TestNodes.startAll(count, listener);
      await(pairs, "not all nodes know each other");
      assertEquals(nodes.get(0).view().owners().size(), count);
      nodes.get(3).close();
      await(stops, "the stop was not heard");
      assertEquals(nodes.get(0).view().owners().size(), count - 1);
      nodes.forEach(PeerNode::close);
    }

    @Test
    public void newNodeHearsOfRevisionAndPullsIt() throws Exception {
      byte[] content = "rules".getBytes(StandardCharsets.UTF_8);
      ConfigSource source = from -> new ConfigContent(new Revision(9), content, false);
      CountDownLatch heard = new CountDownLatch(1);
      PeerListener listener =
          new PeerListener() {
            @Override
            public void newerRevision(Member peer, Revision revision) {
              if (revision.equals(new Revision(9))) {
                heard.countDown();
              }
            }
          };
      try (PeerNode old =
          PeerNode.start(
              TestNodes.settings("host-a", 1, List.of()), new PeerListener() {}, source)) {
        old.advertise(new Revision(9));
        PeerSettings settings = TestNodes.settings("host-b", 1, List.of(old.address()));
        try (PeerNode fresh = PeerNode.start(settings, listener, TestNodes::noConfig)) {
          await(heard, "the revision was not heard");
          ConfigContent pulled =
              fresh
                  .pullConfig(old.address(), Revision.NONE)
                  .get(PATIENCE_SECONDS, TimeUnit.SECONDS);
          assertEquals(pulled.revision(), new Revision(9));
          assertEquals(pulled.bytes(), content);
        }
      }
    }
  }
}
