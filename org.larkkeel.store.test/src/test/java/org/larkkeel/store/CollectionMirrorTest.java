/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.testng.annotations.Test;

/** Tests of {@link CollectionMirror}. */
public class CollectionMirrorTest {
  private static final String COLLECTION = "things";

  private static JsonNode spec(int value) {
    return JsonNodeFactory.instance.objectNode().put("start", value);
  }

  /** A mirror with its store and its client of the store. */
  private static final class Rig {
    final ManualScheduler time = new ManualScheduler();
    final InMemoryStore store = new InMemoryStore(time);
    final ManualScheduler.Process process = time.newProcess();
    final InMemoryObjectApi api = new InMemoryObjectApi(store, process);
    final CollectionMirror mirror;
    Set<String> names = Set.of();
    ObjectPage stale;

    Rig(Duration watchLag) {
      api.setWatchLag(watchLag);
      mirror =
          new CollectionMirror(
              api,
              COLLECTION,
              process,
              new Backoff(Duration.ofMillis(100), Duration.ofSeconds(1), new SplittableRandom(1)),
              change -> recordNames());
      mirror.start();
      time.advance(Duration.ofSeconds(1));
    }

    private void recordNames() {
      names = Set.copyOf(mirror.objects().keySet());
    }

    /** Starts a mirror of another node, with working watches. */
    CollectionMirror startPeerMirror() {
      ManualScheduler.Process other = time.newProcess();
      CollectionMirror m =
          new CollectionMirror(
              new InMemoryObjectApi(store, other).setWatchLag(Duration.ofMillis(1)),
              COLLECTION,
              other,
              new Backoff(Duration.ofMillis(100), Duration.ofSeconds(1), new SplittableRandom(2)),
              change -> {});
      m.start();
      return m;
    }

    StoreVersion version(String name) {
      return store.get(new ObjectKey(COLLECTION, name)).resourceVersion();
    }

    StoreVersion create(String name) {
      return store
          .create(new ObjectKey(COLLECTION, name), "thing", JsonNodeFactory.instance.objectNode())
          .resourceVersion();
    }
  }

  /** Watches whose connection has become unresponsive without being closed. */
  public static class UnresponsiveWatch {
    private static final Duration NEVER = Duration.ofHours(1);

    @Test
    public void collectionIsListedAgainWhenPeerReportsChange() {
      Rig w = new Rig(NEVER);
      StoreVersion change = w.create("a");
      w.time.advance(Duration.ofSeconds(5));
      assertEquals(w.names, Set.of());
      w.mirror.changeSeenByPeer(change);
      w.time.advance(Duration.ofSeconds(1));
      assertEquals(w.names, Set.of("a"));
      assertEquals(w.mirror.changeVersion(), change);
      assertFalse(w.mirror.isFailing());
    }

    @Test
    public void newWatchDeliversFurtherChanges() {
      Rig w = new Rig(NEVER);
      w.mirror.changeSeenByPeer(w.create("a"));
      w.api.setWatchLag(Duration.ofMillis(1));
      w.time.advance(Duration.ofSeconds(1));
      w.create("b");
      w.time.advance(Duration.ofSeconds(1));
      assertEquals(w.names, Set.of("a", "b"));
    }
  }

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
    private static Rig afterRemoval() {
      Rig w = new Rig(Duration.ofMillis(1));
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
      Rig w = afterRemoval();
      w.mirror.changeSeenByPeer(w.store.version());
      w.time.advance(Duration.ofSeconds(2));
      assertEquals(w.mirror.losses(), 1, "the outage");
    }

    @Test
    public void peerThatWatchedRemovalKeepsItsWatch() {
      Rig w = new Rig(Duration.ofMillis(1));
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
      Rig w = new Rig(Duration.ofMillis(1));
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
      Rig w = new Rig(Duration.ofMillis(1));
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
      Rig w = new Rig(Duration.ofMillis(1));
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

  /** The notifications of the listener. */
  public static class Notifications {
    /** A mirror whose listener records all notifications. */
    private static final class ListeningMirror {
      final ManualScheduler time = new ManualScheduler();
      final InMemoryStore store = new InMemoryStore(time);
      final List<CollectionChange> notifications = new ArrayList<>();
      final CollectionMirror mirror;
      boolean failing;

      ListeningMirror(String... names) {
        List.of(names).forEach(this::create);
        ManualScheduler.Process process = time.newProcess();
        InMemoryObjectApi api = new InMemoryObjectApi(store, process);
        api.setWatchLag(Duration.ofMillis(4));
        api.endWatchesWithEvents();
        mirror =
            new CollectionMirror(
                api,
                COLLECTION,
                process,
                new Backoff(Duration.ofMillis(100), Duration.ofSeconds(1), new SplittableRandom(1)),
                this::notified);
        mirror.start();
        time.advance(Duration.ofSeconds(1));
      }

      private void notified(CollectionChange change) {
        if (failing) {
          throw new IllegalStateException("injected");
        }
        notifications.add(change);
      }

      void create(String name) {
        store.create(key(name), "thing", JsonNodeFactory.instance.objectNode());
      }

      void change(String name) {
        StoreVersion version = store.get(key(name)).resourceVersion();
        store.update(key(name), "thing", spec((int) version.number()), version);
      }

      void remove(String name) {
        store.delete(key(name), store.get(key(name)).resourceVersion());
      }

      /** Lets the mirror catch up with the store and returns the notifications of its listener. */
      List<String> nextNotifications() {
        notifications.clear();
        time.advance(Duration.ofSeconds(1));
        return notifications.stream().map(Notifications::format).toList();
      }

      private static ObjectKey key(String name) {
        return new ObjectKey(COLLECTION, name);
      }
    }

    private static String format(CollectionChange change) {
      return change.changed().stream().map(o -> o.key().name()).toList() + "-" + change.removed();
    }

    @Test
    public void firstListReportsAllObjects() {
      ListeningMirror l = new ListeningMirror("a", "b");
      assertEquals(
          l.notifications.stream().map(Notifications::format).toList(), List.of("[a, b]-[]"));
    }

    @Test
    public void emptyFirstListIsReported() {
      assertEquals(
          new ListeningMirror().notifications.stream().map(Notifications::format).toList(),
          List.of("[]-[]"));
    }

    /** Returns a mirror in the pause after a change, in which further changes are collected. */
    private static ListeningMirror mirrorInPause(String... names) {
      ListeningMirror l = new ListeningMirror(names);
      l.create("d");
      l.time.advance(Duration.ofMillis(20));
      assertTrue(l.mirror.objects().containsKey("d"));
      return l;
    }

    @Test
    public void changesDuringPauseAreReportedTogether() {
      ListeningMirror l = mirrorInPause("a", "b", "c");
      l.change("b");
      l.change("c");
      l.change("b");
      assertEquals(l.nextNotifications(), List.of("[b, c]-[]"));
    }

    // Guards against a failure of the listener that ends the following of the collection.
    @Test
    public void areGivenAfterOneHasFailed() {
      ListeningMirror l = mirrorInPause("a");
      l.failing = true;
      l.create("e");
      l.store.discardHistory();
      assertEquals(l.nextNotifications(), List.of());
      l.failing = false;
      l.create("f");
      assertEquals(l.nextNotifications(), List.of("[f]-[]"));
    }

    @Test
    public void removalIsReported() {
      ListeningMirror l = new ListeningMirror("a", "b");
      l.remove("a");
      assertEquals(l.nextNotifications(), List.of("[]-[a]"));
    }

    @Test
    public void listAfterExpiredWatchReportsOnlyDifferences() {
      ListeningMirror l = mirrorInPause("a", "b", "c");
      l.change("b");
      l.remove("c");
      l.store.discardHistory();
      assertEquals(l.nextNotifications(), List.of("[b]-[c]"));
      assertEquals(l.mirror.objects().keySet(), Set.of("a", "b", "d"));
    }
  }

  /** Lists that are older than the changes already seen. */
  public static class StaleList {
    private static final ObjectKey A = new ObjectKey(COLLECTION, "a");

    /** Returns a mirror whose next list predates some changes that it has seen. */
    private static Rig rigWithStaleList(Consumer<Rig> changes) {
      Rig w = new Rig(Duration.ofMillis(1));
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
      Rig w = rigWithStaleList(x -> x.store.update(A, "thing", spec(1), x.version("a")));
      w.api.setWatchLag(Duration.ofHours(1));
      w.time.advance(Duration.ofSeconds(2));
      assertFalse(w.mirror.isFailing());
      assertEquals(w.mirror.objects().get("a").spec(), spec(1));
    }

    @Test
    public void doesNotRemoveNewerObject() {
      Rig w = rigWithStaleList(x -> x.create("b"));
      w.api.setWatchLag(Duration.ofHours(1));
      w.time.advance(Duration.ofSeconds(2));
      assertEquals(w.names, Set.of("a", "b"));
    }

    @Test
    public void doesNotRestoreDeletedObject() {
      Rig w =
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
      Rig w = rigWithStaleList(x -> x.store.update(A, "thing", spec(1), x.version("a")));
      w.time.advance(Duration.ofSeconds(2));
      assertEquals(w.mirror.objects().get("a").spec(), spec(2));
    }

    @Test
    public void isDiscardedAfterNewerCopyOfPeer() {
      Rig w = new Rig(Duration.ofMillis(1));
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

  /** Confirmations that the copy is up to date. */
  public static class Confirmed {
    /** Guards against a confirmation that waits for the time of a watch. */
    @Test
    public void completesSoonWithoutAnyChange() {
      Rig w = new Rig(Duration.ZERO);
      CompletableFuture<Void> confirmation = w.mirror.confirm();
      w.time.advance(Duration.ofMillis(100));
      assertTrue(confirmation.isDone());
      assertEquals(w.mirror.losses(), 0);
    }

    /** Guards against a confirmation by a watch whose connection delivers nothing. */
    @Test
    public void completesWithTheChangesThatAnUnresponsiveWatchHasMissed() {
      Rig w = new Rig(Duration.ZERO);
      w.api.makeConnectionsUnresponsive();
      w.create("a");
      w.time.advance(Duration.ofSeconds(5));
      assertEquals(w.names, Set.of());
      w.mirror.confirm().thenRun(() -> assertEquals(w.names, Set.of("a")));
      w.time.advance(Duration.ofMillis(500));
      assertEquals(w.names, Set.of("a"));
    }

    /** Guards against a large answer that is begun anew for each confirmation. */
    @Test
    public void doesNotEndTheWatchThatReceivesAnAnswer() {
      Rig w = new Rig(Duration.ZERO);
      w.api.endWatchesWithEvents();
      w.api.setTransferTime(Duration.ofMillis(900));
      w.create("a");
      w.time.advance(Duration.ofMillis(100));
      final int watches = w.store.watches();
      CompletableFuture<Void> confirmation = w.mirror.confirm();
      w.time.advance(Duration.ofMillis(600));
      assertFalse(confirmation.isDone());
      assertEquals(w.store.watches(), watches);
      w.time.advance(Duration.ofMillis(400));
      assertTrue(confirmation.isDone());
      assertEquals(w.names, Set.of("a"));
    }

    @Test
    public void doesNotCompleteWhileTheStoreIsUnreachable() {
      Rig w = new Rig(Duration.ZERO);
      w.store.setOutage(true);
      CompletableFuture<Void> confirmation = w.mirror.confirm();
      w.time.advance(Duration.ofSeconds(5));
      assertFalse(confirmation.isDone());
      w.store.setOutage(false);
      w.time.advance(Duration.ofSeconds(3));
      assertTrue(confirmation.isDone());
    }
  }

  /** Watches that work, but deliver with a delay. */
  public static class LaggingWatch {
    /** Guards against the end of a watch whose large answer is on its way over a slow link. */
    @Test
    public void isKeptWhileItReceivesAnAnswer() {
      Rig w = new Rig(Duration.ZERO);
      w.api.setTransferTime(Duration.ofMillis(900));
      w.mirror.changeSeenByPeer(w.create("a"));
      w.time.advance(Duration.ofSeconds(1));
      assertEquals(w.names, Set.of("a"));
      assertEquals(w.mirror.losses(), 0);
    }

    @Test
    public void isKeptWhenReportedChangeArrives() {
      Rig w = new Rig(Duration.ofMillis(200));
      StoreVersion change = w.create("a");
      w.mirror.changeSeenByPeer(change);
      w.api.setReadFaults(() -> Fault.REFUSE);
      w.time.advance(Duration.ofSeconds(2));
      assertEquals(w.names, Set.of("a"));
      assertFalse(w.mirror.isFailing(), "no list was requested");
      assertFalse(change.isAfter(w.mirror.changeVersion()));
    }

    @Test
    public void isKeptWhenReportedChangeIsKnown() {
      Rig w = new Rig(Duration.ofMillis(1));
      StoreVersion change = w.create("a");
      w.time.advance(Duration.ofSeconds(1));
      w.api.setReadFaults(() -> Fault.REFUSE);
      w.mirror.changeSeenByPeer(change);
      w.time.advance(Duration.ofSeconds(2));
      assertFalse(w.mirror.isFailing());
    }
  }

  /** Unreadable objects as reported by the object API. */
  public static class UnreadableObjects {
    private static final EntryProblem PROBLEM =
        new EntryProblem(EntryProblem.Reason.MISSING, "name", "nothing", "a text");

    /** A mirror over an API of one page, whose events the test delivers. */
    private static final class ScriptedApiRig implements InvocationHandler {
      final ManualScheduler time = new ManualScheduler();
      final ObjectPage page;
      final CollectionMirror mirror;
      Consumer<WatchEvent> watch;

      ScriptedApiRig(UnreadableObject bad) {
        page =
            new ObjectPage(
                ImmutableList.of(object("a", 1), object("b", 5)),
                ImmutableList.of(bad),
                new StoreVersion(1, 9),
                "");
        ObjectApi api =
            (ObjectApi)
                Proxy.newProxyInstance(
                    ScriptedApiRig.class.getClassLoader(), new Class<?>[] {ObjectApi.class}, this);
        mirror =
            new CollectionMirror(
                api,
                COLLECTION,
                time.newProcess(),
                new Backoff(Duration.ofMillis(100), Duration.ofSeconds(1), new SplittableRandom(1)),
                objects -> {});
        mirror.start();
      }

      @Override
      @SuppressWarnings("unchecked")
      public Object invoke(Object proxy, Method method, Object[] args) {
        if (method.getName().equals("list")) {
          return CompletableFuture.completedFuture(page);
        }
        watch = (Consumer<WatchEvent>) args[3];
        return new Watch() {
          @Override
          public CompletableFuture<Void> ended() {
            return new CompletableFuture<>();
          }

          @Override
          public void close() {}
        };
      }
    }

    private static StoredObject object(String name, long version) {
      return new StoredObject(
          new ObjectKey(COLLECTION, name),
          "thing",
          new StoreVersion(1, version),
          JsonNodeFactory.instance.objectNode());
    }

    @Test
    public void doNotHideOtherObjectsOfTheirPage() {
      ScriptedApiRig r =
          new ScriptedApiRig(new UnreadableObject("c", new StoreVersion(1, 9), PROBLEM));
      assertEquals(r.mirror.objects().keySet(), Set.of("a", "b"));
      assertEquals(r.mirror.unreadable().keySet(), Set.of("c"));
    }

    @Test
    public void replaceReadableVersion() {
      ScriptedApiRig r =
          new ScriptedApiRig(new UnreadableObject("", new StoreVersion(1, 9), PROBLEM));
      r.watch.accept(
          new WatchEvent.Unreadable(new UnreadableObject("b", new StoreVersion(1, 10), PROBLEM)));
      assertEquals(r.mirror.objects().keySet(), Set.of("a"));
      assertEquals(r.mirror.unreadable().keySet(), Set.of("", "b"));
      assertFalse(r.mirror.isFailing());
    }

    @Test
    public void areDroppedOnceReadable() {
      ScriptedApiRig r =
          new ScriptedApiRig(new UnreadableObject("c", new StoreVersion(1, 9), PROBLEM));
      r.watch.accept(new WatchEvent.Changed(object("c", 11)));
      assertEquals(r.mirror.objects().keySet(), Set.of("a", "b", "c"));
      assertTrue(r.mirror.unreadable().isEmpty());
    }

    @Test
    public void areDroppedOnceDeleted() {
      ScriptedApiRig r =
          new ScriptedApiRig(new UnreadableObject("c", new StoreVersion(1, 9), PROBLEM));
      r.watch.accept(new WatchEvent.Deleted(object("c", 11)));
      assertTrue(r.mirror.unreadable().isEmpty());
    }

    @Test
    public void doNotReplaceNewerVersion() {
      ScriptedApiRig r =
          new ScriptedApiRig(new UnreadableObject("c", new StoreVersion(1, 9), PROBLEM));
      r.watch.accept(new WatchEvent.Changed(object("a", 12)));
      r.watch.accept(
          new WatchEvent.Unreadable(new UnreadableObject("a", new StoreVersion(1, 10), PROBLEM)));
      assertEquals(r.mirror.objects().keySet(), Set.of("a", "b"));
    }
  }
}
