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

/** A copy of a collection. */
public class CollectionMirrorTest {
  private static final String COLLECTION = "things";

  private static JsonNode spec(int start) {
    return JsonNodeFactory.instance.objectNode().put("start", start);
  }

  /** A mirror, and a store that it sees over an API. */
  private static final class World {
    final ManualScheduler time = new ManualScheduler();
    final InMemoryStore store = new InMemoryStore(time);
    final ManualScheduler.Process process = time.newProcess();
    final InMemoryObjectApi api = new InMemoryObjectApi(store, process);
    final CollectionMirror mirror;
    Set<String> names = Set.of();
    ObjectPage stale;

    World(Duration watchLag) {
      api.setWatchLag(watchLag);
      mirror =
          new CollectionMirror(
              api,
              COLLECTION,
              process,
              new Backoff(Duration.ofMillis(100), Duration.ofSeconds(1), new SplittableRandom(1)),
              change -> changed());
      mirror.start();
      time.advance(Duration.ofSeconds(1));
    }

    private void changed() {
      names = Set.copyOf(mirror.objects().keySet());
    }

    /** A mirror of another node, whose watches work. */
    CollectionMirror another() {
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

  /** Watches whose connection has gone silent. */
  public static class Silent {
    private static final Duration NEVER = Duration.ofHours(1);

    @Test
    public void isReadAnewOnceOthersKnowMore() {
      World w = new World(NEVER);
      StoreVersion change = w.create("a");
      w.time.advance(Duration.ofSeconds(5));
      assertEquals(w.names, Set.of());
      w.mirror.others(change);
      w.time.advance(Duration.ofSeconds(1));
      assertEquals(w.names, Set.of("a"));
      assertEquals(w.mirror.changeVersion(), change);
      assertFalse(w.mirror.isFailing());
    }

    @Test
    public void followsTheStoreAfterwards() {
      World w = new World(NEVER);
      w.mirror.others(w.create("a"));
      w.api.setWatchLag(Duration.ofMillis(1));
      w.time.advance(Duration.ofSeconds(1));
      w.create("b");
      w.time.advance(Duration.ofSeconds(1));
      assertEquals(w.names, Set.of("a", "b"));
    }
  }

  /**
   * Objects that were removed while the store could not be reached.
   *
   * <p>Seen: upstreams left while the store refused some nodes. From then on each of these took its
   * watch for dead again and again, up to 20 times in 10 s, since others had seen a change that was
   * older than its own list. Cause: the change was compared with those of the objects that a node
   * has, among which a removal is only if it was watched. Proof: a node listed as of version 37,
   * and looked for the removal 36 until the next change of an upstream.
   */
  public static class Removed {
    private static final ObjectKey A = new ObjectKey(COLLECTION, "a");

    /** A mirror that lists after a removal that it did not watch. */
    private static World afterRemoval() {
      World w = new World(Duration.ofMillis(1));
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
    public void areNoReasonToReadAnewWhatTheListLacks() {
      World w = afterRemoval();
      w.mirror.others(w.store.version());
      w.time.advance(Duration.ofSeconds(2));
      assertEquals(w.mirror.losses(), 1, "the outage");
    }

    @Test
    public void areNoNewsForThoseThatWatchedThem() {
      World w = new World(Duration.ofMillis(1));
      w.create("a");
      w.create("b");
      final CollectionMirror watching = w.another();
      w.time.advance(Duration.ofSeconds(1));
      w.api.fallSilent();
      w.store.delete(A, w.store.get(A).resourceVersion());
      w.time.advance(Duration.ofMillis(100));
      w.mirror.others(watching.changeVersion());
      w.time.advance(Duration.ofSeconds(2));
      assertEquals(w.names, Set.of("b"));
      watching.others(w.mirror.changeVersion());
      w.time.advance(Duration.ofSeconds(2));
      assertEquals(watching.losses(), 0);
    }

    /**
     * A node that lists after a silence is the first to know. What is left out of a list was no
     * change that it told of, so that nodes that were still silent kept the removed upstream.
     */
    @Test
    public void areNewsForOthersThatHaveNotSeenThem() {
      World w = new World(Duration.ofMillis(1));
      w.create("a");
      w.create("b");
      final CollectionMirror lister = w.another();
      w.time.advance(Duration.ofSeconds(1));
      assertEquals(w.names, Set.of("a", "b"));
      w.api.fallSilent();
      w.store.setOutage(true);
      w.store.delete(A, w.store.get(A).resourceVersion());
      w.time.advance(Duration.ofSeconds(1));
      w.store.setOutage(false);
      w.time.advance(Duration.ofSeconds(3));
      assertEquals(w.names, Set.of("a", "b"));
      w.mirror.others(lister.changeVersion());
      w.time.advance(Duration.ofSeconds(1));
      assertEquals(w.names, Set.of("b"));
    }
  }

  /** What operators see of it. */
  public static class Measured {
    @Test
    public void tellsHowLongTheStoreWasSilent() {
      World w = new World(Duration.ofMillis(1));
      w.time.advance(Duration.ofSeconds(4));
      assertTrue(w.mirror.silence().compareTo(Duration.ofSeconds(4)) >= 0);
      w.create("a");
      w.time.advance(Duration.ofMillis(10));
      assertTrue(w.mirror.silence().toMillis() <= 10, w.mirror.silence().toString());
    }

    @Test
    public void countsLossesButNotTriesThatFail() {
      World w = new World(Duration.ofMillis(1));
      w.store.setOutage(true);
      w.create("a");
      w.time.advance(Duration.ofSeconds(10));
      w.store.setOutage(false);
      w.time.advance(Duration.ofSeconds(2));
      assertFalse(w.mirror.isFailing());
      assertEquals(w.mirror.losses(), 1);
    }
  }

  /** Changes that come in series, in a fleet whose watches all end with each of them. */
  public static class InSeries {
    private static MirrorFleet fleet(int nodes) {
      MirrorFleet fleet = new MirrorFleet(nodes, Duration.ofMillis(4), new SplittableRandom(1));
      fleet.time.advance(Duration.ofSeconds(1));
      return fleet;
    }

    /** The watches of a fleet while a change comes each 50 ms, as when many upstreams register. */
    private static int watchesDuring(MirrorFleet fleet, int changes) {
      int before = fleet.store.watches();
      for (int i = 0; i < changes; i++) {
        fleet.create("o-" + i);
        fleet.time.advance(Duration.ofMillis(50));
      }
      fleet.time.advance(Duration.ofSeconds(1));
      return fleet.store.watches() - before;
    }

    @Test
    public void areSeenByFewCallsOfLargeFleets() {
      MirrorFleet fleet = fleet(95);
      int calls = watchesDuring(fleet, 80);
      // Four seconds at 160 calls a second, the first call of each and the last.
      assertTrue(calls <= 4 * 160 + 3 * 95, "calls " + calls);
      fleet.mirrors.forEach(m -> assertEquals(m.objects().size(), 80));
    }

    @Test
    public void areSeenSoonBySmallFleets() {
      MirrorFleet fleet = fleet(8);
      fleet.create("a");
      fleet.time.advance(Duration.ofMillis(20));
      fleet.create("b");
      fleet.time.advance(Duration.ofMillis(200));
      fleet.mirrors.forEach(m -> assertEquals(m.objects().size(), 2));
    }
  }

  /** What the listener is told. */
  public static class Told {
    /** A mirror whose listener notes all that it is told. */
    private static final class Listening {
      final ManualScheduler time = new ManualScheduler();
      final InMemoryStore store = new InMemoryStore(time);
      final List<CollectionChange> told = new ArrayList<>();
      final CollectionMirror mirror;

      Listening(String... names) {
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
                told::add);
        mirror.start();
        time.advance(Duration.ofSeconds(1));
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

      /** Lets the mirror see what the store has by now, and returns what its listener was told. */
      List<String> next() {
        told.clear();
        time.advance(Duration.ofSeconds(1));
        return told.stream().map(Told::text).toList();
      }

      private static ObjectKey key(String name) {
        return new ObjectKey(COLLECTION, name);
      }
    }

    private static String text(CollectionChange change) {
      return change.changed().stream().map(o -> o.key().name()).toList() + "-" + change.removed();
    }

    @Test
    public void namesAllOfTheFirstList() {
      Listening l = new Listening("a", "b");
      assertEquals(l.told.stream().map(Told::text).toList(), List.of("[a, b]-[]"));
    }

    @Test
    public void isToldOfAnEmptyListToo() {
      assertEquals(new Listening().told.stream().map(Told::text).toList(), List.of("[]-[]"));
    }

    /** The pause after a change is the time in which others come together. */
    private static Listening pausing(String... names) {
      Listening l = new Listening(names);
      l.create("d");
      l.time.advance(Duration.ofMillis(20));
      assertTrue(l.mirror.objects().containsKey("d"));
      return l;
    }

    @Test
    public void namesWhatComesTogetherOnce() {
      Listening l = pausing("a", "b", "c");
      l.change("b");
      l.change("c");
      l.change("b");
      assertEquals(l.next(), List.of("[b, c]-[]"));
    }

    @Test
    public void namesWhatHasGone() {
      Listening l = new Listening("a", "b");
      l.remove("a");
      assertEquals(l.next(), List.of("[]-[a]"));
    }

    @Test
    public void namesOnlyWhatDiffersAfterHistoryWasLost() {
      Listening l = pausing("a", "b", "c");
      l.change("b");
      l.remove("c");
      l.store.forgetHistory();
      assertEquals(l.next(), List.of("[b]-[c]"));
      assertEquals(l.mirror.objects().keySet(), Set.of("a", "b", "d"));
    }
  }

  /** Lists that are behind what was seen. */
  public static class Behind {
    private static final ObjectKey A = new ObjectKey(COLLECTION, "a");

    /** A mirror that is given its next list from before some changes. */
    private static World behind(Consumer<World> changes) {
      World w = new World(Duration.ofMillis(1));
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
    public void bringsNoOlderVersionBack() {
      World w = behind(x -> x.store.update(A, "thing", spec(1), x.version("a")));
      w.api.setWatchLag(Duration.ofHours(1));
      w.time.advance(Duration.ofSeconds(2));
      assertFalse(w.mirror.isFailing());
      assertEquals(w.mirror.objects().get("a").spec(), spec(1));
    }

    @Test
    public void takesNoNewerObjectAway() {
      World w = behind(x -> x.create("b"));
      w.api.setWatchLag(Duration.ofHours(1));
      w.time.advance(Duration.ofSeconds(2));
      assertEquals(w.names, Set.of("a", "b"));
    }

    @Test
    public void bringsNothingBackThatWasDeleted() {
      World w =
          behind(
              x -> {
                StoreVersion made = x.create("c");
                x.time.advance(Duration.ofSeconds(1));
                x.stale = x.store.list(ListQuery.of(COLLECTION));
                x.store.delete(new ObjectKey(COLLECTION, "c"), made);
              });
      w.api.setNextList(w.stale);
      w.api.setWatchLag(Duration.ofHours(1));
      w.time.advance(Duration.ofSeconds(2));
      assertEquals(w.names, Set.of("a"));
    }

    @Test
    public void isFollowedToTheNewestChange() {
      World w = behind(x -> x.store.update(A, "thing", spec(1), x.version("a")));
      w.time.advance(Duration.ofSeconds(2));
      assertEquals(w.mirror.objects().get("a").spec(), spec(2));
    }

    @Test
    public void isNotTakenAfterNewerCopyOfAnother() {
      World w = new World(Duration.ofMillis(1));
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

  /** Watches that only lag. */
  public static class Lagging {
    @Test
    public void isNotReadAnewForChangesThatCome() {
      World w = new World(Duration.ofMillis(200));
      StoreVersion change = w.create("a");
      w.mirror.others(change);
      w.api.setReadFaults(() -> Fault.REFUSE);
      w.time.advance(Duration.ofSeconds(2));
      assertEquals(w.names, Set.of("a"));
      assertFalse(w.mirror.isFailing(), "nothing was read");
      assertFalse(change.isAfter(w.mirror.changeVersion()));
    }

    @Test
    public void isNotReadAnewForWhatItKnows() {
      World w = new World(Duration.ofMillis(1));
      StoreVersion change = w.create("a");
      w.time.advance(Duration.ofSeconds(1));
      w.api.setReadFaults(() -> Fault.REFUSE);
      w.mirror.others(change);
      w.time.advance(Duration.ofSeconds(2));
      assertFalse(w.mirror.isFailing());
    }
  }

  /** Objects that can not be read, told by the API. */
  public static class Unreadable {
    private static final EntryProblem PROBLEM =
        new EntryProblem(EntryProblem.Reason.MISSING, "name", "nothing", "a text");

    /** A mirror over an API of one page, whose events the test delivers. */
    private static final class Rig implements InvocationHandler {
      final ManualScheduler time = new ManualScheduler();
      final ObjectPage page;
      final CollectionMirror mirror;
      Consumer<WatchEvent> watch;

      Rig(UnreadableObject bad) {
        page =
            new ObjectPage(
                ImmutableList.of(object("a", 1), object("b", 5)),
                ImmutableList.of(bad),
                new StoreVersion(1, 9),
                "");
        ObjectApi api =
            (ObjectApi)
                Proxy.newProxyInstance(
                    Rig.class.getClassLoader(), new Class<?>[] {ObjectApi.class}, this);
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
    public void leavesTheOthersOfItsPage() {
      Rig r = new Rig(new UnreadableObject("c", new StoreVersion(1, 9), PROBLEM));
      assertEquals(r.mirror.objects().keySet(), Set.of("a", "b"));
      assertEquals(r.mirror.unreadable().keySet(), Set.of("c"));
    }

    @Test
    public void takesTheNameAwayThatWasGood() {
      Rig r = new Rig(new UnreadableObject("", new StoreVersion(1, 9), PROBLEM));
      r.watch.accept(
          new WatchEvent.Unreadable(new UnreadableObject("b", new StoreVersion(1, 10), PROBLEM)));
      assertEquals(r.mirror.objects().keySet(), Set.of("a"));
      assertEquals(r.mirror.unreadable().keySet(), Set.of("", "b"));
      assertFalse(r.mirror.isFailing());
    }

    @Test
    public void isForgottenOnceItIsGood() {
      Rig r = new Rig(new UnreadableObject("c", new StoreVersion(1, 9), PROBLEM));
      r.watch.accept(new WatchEvent.Changed(object("c", 11)));
      assertEquals(r.mirror.objects().keySet(), Set.of("a", "b", "c"));
      assertTrue(r.mirror.unreadable().isEmpty());
    }

    @Test
    public void isForgottenOnceItIsDeleted() {
      Rig r = new Rig(new UnreadableObject("c", new StoreVersion(1, 9), PROBLEM));
      r.watch.accept(new WatchEvent.Deleted(object("c", 11)));
      assertTrue(r.mirror.unreadable().isEmpty());
    }

    @Test
    public void takesNothingNewerAway() {
      Rig r = new Rig(new UnreadableObject("c", new StoreVersion(1, 9), PROBLEM));
      r.watch.accept(new WatchEvent.Changed(object("a", 12)));
      r.watch.accept(
          new WatchEvent.Unreadable(new UnreadableObject("a", new StoreVersion(1, 10), PROBLEM)));
      assertEquals(r.mirror.objects().keySet(), Set.of("a", "b"));
    }
  }
}
