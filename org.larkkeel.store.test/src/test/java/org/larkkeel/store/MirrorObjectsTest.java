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

/** Tests of the objects that a {@link CollectionMirror} holds, and of its listener. */
public class MirrorObjectsTest {
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
