/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import static org.larkkeel.store.MirrorRig.COLLECTION;
import static org.larkkeel.store.MirrorRig.spec;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.testng.annotations.Test;

/** Tests of {@link CollectionMirror}. */
public class CollectionMirrorTest {
  /**
   * Objects that were removed while the store was unreachable.
   *
   * <p>Guards against restarting a working watch over and over, up to 20 times in 10 s, because of
   * a removal that the node has only inferred from a list. This happened when a change reported by
   * a peer was compared only with the changes of the node's objects, which include a removal only
   * if it was watched: a node that had listed version 37 waited for the removal with version 36
   * until the next change.
   */
  public static class RemovedDuringOutage {
    private static final ObjectKey A = new ObjectKey(COLLECTION, "a");

    /** Returns a mirror that has listed after a removal that it did not watch. */
    private static MirrorRig afterRemoval() {
      MirrorRig w = new MirrorRig(Duration.ofMillis(1));
      w.create("a");
      w.create("b");
      w.time.advance(Duration.ofSeconds(1));
      w.store.setOutage(true);
      w.store.delete(A, w.store.get(A).resourceVersion());
      w.time.advance(Duration.ofSeconds(1));
      w.store.setOutage(false);
      w.time.advance(Duration.ofSeconds(3));
      assertEquals(w.names, Set.of("b"));
      return w;
    }

    @Test
    public void reportOfInferredRemovalDoesNotRestartWatch() {
      MirrorRig w = afterRemoval();
      w.mirror.changeSeenByPeer(w.store.version());
      w.time.advance(Duration.ofSeconds(2));
      assertEquals(w.mirror.losses(), 1, "the outage");
    }

    @Test
    public void peerThatWatchedRemovalKeepsItsWatch() {
      MirrorRig w = new MirrorRig(Duration.ofMillis(1));
      w.create("a");
      w.create("b");
      final CollectionMirror watchingPeer = w.startPeerMirror();
      w.time.advance(Duration.ofSeconds(1));
      w.api.makeConnectionsUnresponsive();
      w.store.delete(A, w.store.get(A).resourceVersion());
      w.time.advance(Duration.ofMillis(100));
      w.mirror.changeSeenByPeer(watchingPeer.changeVersion());
      w.time.advance(Duration.ofSeconds(2));
      assertEquals(w.names, Set.of("b"));
      watchingPeer.changeSeenByPeer(w.mirror.changeVersion());
      w.time.advance(Duration.ofSeconds(2));
      assertEquals(watchingPeer.losses(), 0);
    }

    /**
     * The node that lists after an outage is the first to see a removal. Guards against not
     * reporting a removal that was inferred from a list, so that peers with unresponsive watches
     * kept the removed object.
     */
    @Test
    public void inferredRemovalIsReportedToPeers() {
      MirrorRig w = new MirrorRig(Duration.ofMillis(1));
      w.create("a");
      w.create("b");
      final CollectionMirror listingPeer = w.startPeerMirror();
      w.time.advance(Duration.ofSeconds(1));
      assertEquals(w.names, Set.of("a", "b"));
      w.api.makeConnectionsUnresponsive();
      w.store.setOutage(true);
      w.store.delete(A, w.store.get(A).resourceVersion());
      w.time.advance(Duration.ofSeconds(1));
      w.store.setOutage(false);
      w.time.advance(Duration.ofSeconds(3));
      assertEquals(w.names, Set.of("a", "b"));
      w.mirror.changeSeenByPeer(listingPeer.changeVersion());
      w.time.advance(Duration.ofSeconds(1));
      assertEquals(w.names, Set.of("b"));
    }
  }

  /** The values of the metrics. */
  public static class Metrics {
    @Test
    public void timeSinceLastAnswerGrowsUntilNextEvent() {
      MirrorRig w = new MirrorRig(Duration.ofMillis(1));
      w.time.advance(Duration.ofSeconds(4));
      assertTrue(w.mirror.timeSinceLastAnswer().compareTo(Duration.ofSeconds(4)) >= 0);
      w.create("a");
      w.time.advance(Duration.ofMillis(10));
      assertTrue(
          w.mirror.timeSinceLastAnswer().toMillis() <= 10,
          w.mirror.timeSinceLastAnswer().toString());
    }

    @Test
    public void outageCountsOnceDespiteFailedRetries() {
      MirrorRig w = new MirrorRig(Duration.ofMillis(1));
      w.store.setOutage(true);
      w.create("a");
      w.time.advance(Duration.ofSeconds(10));
      w.store.setOutage(false);
      w.time.advance(Duration.ofSeconds(2));
      assertFalse(w.mirror.isFailing());
      assertEquals(w.mirror.losses(), 1);
    }
  }

  /** Frequent changes in a cluster, each of which ends the watches of all nodes. */
  public static class FrequentChanges {
    private static MirrorCluster startCluster(int nodes) {
      MirrorCluster cluster =
          new MirrorCluster(nodes, Duration.ofMillis(4), new SplittableRandom(1));
      cluster.time.advance(Duration.ofSeconds(1));
      return cluster;
    }

    /**
     * Returns the number of watches that a cluster starts while an object changes every 50 ms, as
     * when many upstreams register.
     */
    private static int watchesDuring(MirrorCluster cluster, int changes) {
      int before = cluster.store.watches();
      for (int i = 0; i < changes; i++) {
        cluster.create("o-" + i);
        cluster.time.advance(Duration.ofMillis(50));
      }
      cluster.time.advance(Duration.ofSeconds(1));
      return cluster.store.watches() - before;
    }

    @Test
    public void causeFewCallsInLargeCluster() {
      MirrorCluster cluster = startCluster(95);
      int calls = watchesDuring(cluster, 80);
      // Four seconds at 160 calls per second, plus the first and the last calls of each node.
      assertTrue(calls <= 4 * 160 + 3 * 95, "calls " + calls);
      cluster.mirrors.forEach(m -> assertEquals(m.objects().size(), 80));
    }

    @Test
    public void areSeenQuicklyInSmallCluster() {
      MirrorCluster cluster = startCluster(8);
      cluster.create("a");
      cluster.time.advance(Duration.ofMillis(20));
      cluster.create("b");
      cluster.time.advance(Duration.ofMillis(200));
      cluster.mirrors.forEach(m -> assertEquals(m.objects().size(), 2));
    }
  }

  /** Lists that are older than the changes already seen. */
  public static class StaleList {
    private static final ObjectKey A = new ObjectKey(COLLECTION, "a");

    /** Returns a mirror whose next list predates some changes that it has seen. */
    private static MirrorRig rigWithStaleList(Consumer<MirrorRig> changes) {
      MirrorRig w = new MirrorRig(Duration.ofMillis(1));
      w.create("a");
      w.time.advance(Duration.ofSeconds(1));
      ObjectPage before = w.store.list(ListQuery.of(COLLECTION));
      changes.accept(w);
      w.time.advance(Duration.ofSeconds(1));
      w.api.setNextList(before);
      w.store.setOutage(true);
      w.store.update(A, "thing", spec(2), w.store.get(A).resourceVersion());
      w.time.advance(Duration.ofMillis(10));
      w.store.setOutage(false);
      return w;
    }

    @Test
    public void doesNotRestoreOlderVersion() {
      MirrorRig w = rigWithStaleList(x -> x.store.update(A, "thing", spec(1), x.version("a")));
      w.api.setWatchLag(Duration.ofHours(1));
      w.time.advance(Duration.ofSeconds(2));
      assertFalse(w.mirror.isFailing());
      assertEquals(w.mirror.objects().get("a").spec(), spec(1));
    }

    @Test
    public void doesNotRemoveNewerObject() {
      MirrorRig w = rigWithStaleList(x -> x.create("b"));
      w.api.setWatchLag(Duration.ofHours(1));
      w.time.advance(Duration.ofSeconds(2));
      assertEquals(w.names, Set.of("a", "b"));
    }

    @Test
    public void doesNotRestoreDeletedObject() {
      MirrorRig w =
          rigWithStaleList(
              x -> {
                StoreVersion created = x.create("c");
                x.time.advance(Duration.ofSeconds(1));
                x.stale = x.store.list(ListQuery.of(COLLECTION));
                x.store.delete(new ObjectKey(COLLECTION, "c"), created);
              });
      w.api.setNextList(w.stale);
      w.api.setWatchLag(Duration.ofHours(1));
      w.time.advance(Duration.ofSeconds(2));
      assertEquals(w.names, Set.of("a"));
    }

    @Test
    public void watchDeliversNewestChangeAfterwards() {
      MirrorRig w = rigWithStaleList(x -> x.store.update(A, "thing", spec(1), x.version("a")));
      w.time.advance(Duration.ofSeconds(2));
      assertEquals(w.mirror.objects().get("a").spec(), spec(2));
    }

    @Test
    public void isDiscardedAfterNewerCopyOfPeer() {
      MirrorRig w = new MirrorRig(Duration.ofMillis(1));
      w.create("a");
      w.time.advance(Duration.ofSeconds(1));
      final ObjectPage before = w.store.list(ListQuery.of(COLLECTION));
      w.store.setOutage(true);
      StoredObject newer = w.store.update(A, "thing", spec(1), w.version("a"));
      w.time.advance(Duration.ofMillis(50));
      assertTrue(w.mirror.isFailing());
      assertTrue(w.mirror.offer(newer.resourceVersion(), List.of(newer)));
      w.api.setNextList(before);
      w.api.setWatchLag(Duration.ofHours(1));
      w.store.setOutage(false);
      w.time.advance(Duration.ofSeconds(2));
      assertFalse(w.mirror.isFailing());
      assertEquals(w.mirror.objects().get("a").spec(), spec(1));
    }
  }
}
