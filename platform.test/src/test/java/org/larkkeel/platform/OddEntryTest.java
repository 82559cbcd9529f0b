/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.larkkeel.http.Json;
import org.larkkeel.store.EntryProblem;
import org.larkkeel.store.ListQuery;
import org.larkkeel.store.ObjectPage;
import org.larkkeel.store.ParseResult;
import org.larkkeel.store.StoredObject;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of reading odd entries. All reading runs with the stack of a node's threads. The system
 * property {@code larkkeel.fuzz.seed} sets the seed.
 */
public class OddEntryTest {
  private static final long SEED = Long.getLong("larkkeel.fuzz.seed", 1);
  private static final int CASES = 400;
  private static final int STACK_BYTES = 512 << 10;
  private static final int LARGE_DEPTH = 100_000;
  private static final Duration MAX_CPU_TIME = Duration.ofSeconds(2);

  /** Code that may throw. */
  private interface Body {
    void run() throws Exception;
  }

  private static void runWithSmallStack(Body body) throws Exception {
    CompletableFuture<Void> result = new CompletableFuture<>();
    Runnable task =
        () -> {
          try {
            body.run();
            result.complete(null);
          } catch (Throwable e) {
            result.completeExceptionally(e);
          }
        };
    Thread thread = new Thread(null, task, "reader", STACK_BYTES);
    thread.start();
    thread.join();
    result.get();
  }

  private static ObjectPage page(boolean more, String... items) {
    String text =
        "{\"items\":[%s],\"more_pages\":%s,\"as_of\":9}".formatted(String.join(",", items), more);
    return PlatformObjectApi.page(
        ListQuery.of(PlatformNames.SERVERS_KIND), 1, text.getBytes(ISO_8859_1));
  }

  private static List<String> names(ObjectPage page) {
    return page.items().stream().map(o -> o.key().name()).toList();
  }

  private static String item(String spec) {
    return ScriptedStore.item(OddEntry.NAME, 3, spec);
  }

  /** Tests of pages of a list with an odd entry between others. */
  public static class InPage {
    private static void check(String odd) {
      ObjectPage page = page(false, ScriptedStore.item("a", 1), odd, ScriptedStore.item("z", 2));
      List<String> names = names(page);
      String shown = odd.substring(0, Math.min(200, odd.length()));
      assertTrue(names.containsAll(Set.of("a", "z")), names + " " + shown);
      assertEquals(names.size() + page.unreadable().size(), 3, names + " " + shown);
      assertFalse(names.contains(OddEntry.INNER), shown);
      page.items().forEach(InPage::use);
      page.unreadable().forEach(u -> assertTrue(u.problem().found().length() <= 64, shown));
    }

    /** Does with an object what nodes do: they read, compare, log and send it. */
    private static void use(StoredObject o) {
      if (PlatformUpstreams.read(o) instanceof ParseResult.Unreadable<?> u) {
        assertTrue(u.problem().found().length() <= EntryProblem.MAX_FOUND_CHARS);
      }
      PlatformConfiguration.read(o.spec());
      StoredObject same =
          new StoredObject(o.key(), o.kind(), o.resourceVersion(), o.spec().deepCopy());
      assertEquals(same.hashCode(), o.hashCode());
      assertTrue(same.equals(o));
      assertFalse(o.toString().isEmpty());
      ObjectNode copy = Json.object();
      copy.putObject("part").putArray("objects").addObject().set("spec", o.spec());
      assertTrue(Json.bytes(copy).length > 0);
    }

    // Guards against entries whose parts count as entries, or which end the reading of the list.
    @Test
    public void doesNotAffectOthers() throws Exception {
      SplittableRandom random = new SplittableRandom(SEED);
      runWithSmallStack(
          () -> {
            for (int i = 0; i < CASES; i++) {
              check(OddEntry.draw(random).text());
            }
          });
    }

    @DataProvider
    static Object[][] shapes() {
      return new Object[][] {{0}, {1}, {2}, {3}};
    }

    // Guards against a time that grows with the square of the nesting.
    @Test(dataProvider = "shapes")
    public void costsLittleIfVeryDeep(int shape) throws Exception {
      String deep = OddEntry.spec("other", OddEntry.nested(LARGE_DEPTH, shape));
      String malformed = deep.substring(0, deep.length() - 1) + "x}";
      runWithSmallStack(
          () -> {
            check(item(deep));
            check(item(malformed));
            long nanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
            assertTrue(nanos < MAX_CPU_TIME.toNanos(), Duration.ofNanos(nanos).toString());
          });
    }

    // Guards against a list that never completes since its last element hides its name.
    @Test
    public void showsItsNameToContinueAfter() {
      String inner = ScriptedStore.item(OddEntry.INNER, 5, Entries.valid().toString());
      String spec = "{\"x\":[0," + inner + ",0],\"y\":" + OddEntry.nested(LARGE_DEPTH, 0) + "}";
      String metadata = "{\"finalizers\":[{}],\"name\":\"m\",\"revision\":3}";
      ObjectPage page = page(true, "{\"metadata\":" + metadata + ",\"spec\":" + spec + "}");
      assertEquals(page.continueToken(), OddEntry.NAME);
      assertEquals(names(page), List.of());
    }
  }

  /** Tests of a node with odd entries of all kinds in its store. */
  public static class InNode {
    private static final List<String> KINDS =
        List.of("servers", "config", "relay-nodes", "relay-streams", "relay-other");

    private static void putAll(RelayTestSetup w, String prefix) {
      List<String> specs = OddEntry.unreadableSpecs();
      for (String kind : KINDS) {
        for (int i = 0; i < specs.size(); i++) {
          JsonNode spec = JsonNodeFactory.instance.rawValueNode(new RawValue(specs.get(i)));
          w.store.put(kind, prefix + i, spec);
        }
      }
    }

    private static RawServer.Script answers(String body) {
      return UnreadableObjectsTest.UpstreamEntries.answers(body);
    }

    /** Waits until each of some runners has answered a call. */
    private static void awaitAnswersOf(RelayTestSetup w, String... bodies) {
      Set<String> missing = new TreeSet<>(List.of(bodies));
      RelayTestSetup.await(
          () -> {
            String answer = answer(w, "/safe/a");
            missing.removeIf(answer::endsWith);
            return missing.isEmpty();
          });
    }

    /** Returns the answer of a call; empty if its connection was closed, as under load. */
    private static String answer(RelayTestSetup w, String path) {
      try {
        return w.exchange("GET", path, "", "");
      } catch (IOException e) {
        return "";
      }
    }

    // Guards against nodes that stop following the list, at their start or afterwards.
    @Test
    public void doNotStopTheNodeFromFollowingItsStore() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        w.runner("i-1", "app", "", answers("one"));
        putAll(w, "a-");
        putAll(w, "x-");
        awaitAnswersOf(w, "one");
        w.runner("j-2", "app", "", answers("two"));
        awaitAnswersOf(w, "one", "two");
        w.restartNode();
        RelayTestSetup.await(() -> w.node.upstreams() == 2);
        w.runner("z-3", "app", "", answers("three"));
        awaitAnswersOf(w, "one", "two", "three");
        w.configure(2, "added");
        RelayTestSetup.await(() -> answer(w, "/added/a").startsWith("HTTP/1.1 200"));
      }
    }
  }
}
