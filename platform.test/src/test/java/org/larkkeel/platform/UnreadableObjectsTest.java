/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.larkkeel.platform.ScriptedStore.event;
import static org.larkkeel.platform.ScriptedStore.item;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.Json;
import org.larkkeel.lib.Closer;
import org.larkkeel.store.Backoff;
import org.larkkeel.store.CollectionMirror;
import org.larkkeel.store.ExecutorScheduler;
import org.larkkeel.store.HttpClientOptions;
import org.larkkeel.store.ListQuery;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.WatchTimes;
import org.slf4j.LoggerFactory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that an unreadable object of another writer in the store does not affect other objects. */
public class UnreadableObjectsTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(3);

  private static void await(BooleanSupplier condition) throws InterruptedException {
    for (long i = TIMEOUT.toMillis() / 5; !condition.getAsBoolean(); i--) {
      assertTrue(i > 0, "the condition was not met in time");
      Thread.sleep(5);
    }
  }

  /** A mirror of the upstream collection, and the scripted store that it reads from. */
  private static final class MirrorSetup implements AutoCloseable {
    final ScriptedStore store;
    final CollectionMirror mirror;
    final ExecutorScheduler scheduler;
    volatile Set<String> names = Set.of();
    private final Closer closer = new Closer();

    MirrorSetup() {
      store = closer.add(new ScriptedStore());
      scheduler = closer.add(new ExecutorScheduler("test-store"));
      HttpWorker worker = closer.add(new HttpWorker(1));
      HttpClientOptions options =
          HttpClientOptions.of(URI.create("http://" + store.address()))
              .withTimeout(Duration.ofSeconds(2));
      Backoff backoff =
          new Backoff(Duration.ofMillis(250), Duration.ofSeconds(1), new SplittableRandom(1));
      mirror =
          new CollectionMirror(
              new PlatformObjectApi(options, worker.worker(), scheduler),
              PlatformNames.SERVERS_KIND,
              scheduler,
              backoff,
              WatchTimes.fixed(Duration.ofSeconds(1)),
              change -> changed());
      closer.add(mirror);
    }

    private void changed() {
      names = Set.copyOf(mirror.objects().keySet());
    }

    MirrorSetup start() {
      scheduler.execute(mirror::start);
      return this;
    }

    @Override
    public void close() throws Exception {
      closer.close();
    }
  }

  /** Unreadable text in the place of an object. */
  @DataProvider
  public static Object[][] unreadable() {
    return new Object[][] {
      {"null"},
      {"7"},
      {"\"text\""},
      {"[]"},
      {"{}"},
      {"{\"metadata\":null,\"spec\":{}}"},
      {"{\"metadata\":{\"revision\":3},\"spec\":{}}"},
      {"{\"metadata\":{\"name\":7,\"revision\":3},\"spec\":{}}"},
      {"{\"metadata\":{\"name\":\"../x\",\"revision\":3},\"spec\":{}}"},
      {"{\"metadata\":{\"name\":\"m\",\"revision\":\"new\"},\"spec\":{}}"},
      {"{\"metadata\":{\"name\":\"m\",\"revision\":3.5},\"spec\":{}}"},
      {"{\"metadata\":{\"name\":\"ÿþ\",\"revision\":3},\"spec\":{}}"},
      {"{\"metadata\":{\"name\":\"m\u0001\",\"revision\":3},\"spec\":{}}"},
      {"{\"metadata\":{\"name\":\"m\",\"revision\":3},\"spec\":{\"a\":}}"},
      {"{\"metadata\" \u0000\u0001}"},
      {"{\"metadata\":{\"name\":\"m\",\"revision\":1e999999999},\"spec\":{}}"},
      {"{\"metadata\":{\"name\":\"m\",\"revision\":" + "9".repeat(5_000) + "},\"spec\":{}}"},
      {"{\"metadata\":{\"name\":\"" + "m".repeat(100_000) + "\",\"revision\":3},\"spec\":{}}"},
      {"{\"metadata\":{\"name\":\"\\ud800\",\"revision\":3},\"spec\":{}}"},
      {item("m", 3, OddEntry.nested(50_000, 0))},
      {item("m", 3, OddEntry.nested(50_000, 3))},
      {item("m", 3, "[0," + item("b", 3) + "," + OddEntry.nested(50_000, 1) + "]")},
    };
  }

  /** Tests of unreadable objects in lists. */
  public static class InPage {
    @DataProvider
    static Object[][] unreadable() {
      return UnreadableObjectsTest.unreadable();
    }

    @Test(dataProvider = "unreadable")
    public void doesNotAffectOthers(String bad) throws Exception {
      try (MirrorSetup c = new MirrorSetup()) {
        c.store.page(item("a", 1), bad, item("z", 2));
        c.start();
        await(() -> c.names.equals(Set.of("a", "z")));
      }
    }

    @Test(dataProvider = "unreadable")
    public void doesNotEndTheListIfLastOnItsPage(String bad) throws Exception {
      try (MirrorSetup c = new MirrorSetup()) {
        c.store.page(item("a", 1), bad);
        c.store.secondPage(item("z", 2));
        c.start();
        await(() -> c.names.equals(Set.of("a", "z")));
      }
    }
  }

  /** Tests of unreadable objects in events of a watch. */
  public static class InWatch {
    @DataProvider
    static Object[][] unreadable() {
      return UnreadableObjectsTest.unreadable();
    }

    @Test(dataProvider = "unreadable")
    public void affectsNeitherOthersNorLaterEvents(String bad) throws Exception {
      try (MirrorSetup c = new MirrorSetup()) {
        c.store.page(item("a", 1));
        c.start();
        await(() -> c.names.equals(Set.of("a")));
        c.store.page(item("a", 1), item("b", 101), bad, item("c", 101));
        c.store.events(event(item("b", 101)), event(bad), event(item("c", 101)));
        await(() -> c.names.equals(Set.of("a", "b", "c")));
        c.store.page(item("a", 1), item("b", 101), bad, item("c", 101), item("d", 102));
        c.store.events(event(item("d", 102)));
        await(() -> c.names.equals(Set.of("a", "b", "c", "d")));
        assertTrue(c.store.lists.get() <= 2, "listed again more than once");
        assertFalse(c.mirror.isFailing());
      }
    }

    @Test
    public void withoutNameCausesOneMoreList() throws Exception {
      try (MirrorSetup c = new MirrorSetup()) {
        c.store.page(item("a", 1), item("b", 2));
        c.start();
        await(() -> c.names.equals(Set.of("a", "b")));
        String bad = "{\"metadata\":{\"name\":\"b";
        c.store.page(item("a", 1), bad);
        c.store.events(event(bad), event(item("a", 101)));
        await(() -> c.names.equals(Set.of("a")));
        Thread.sleep(500);
        assertEquals(c.store.lists.get(), 2);
      }
    }

    @Test
    public void doesNotRemoveAnObjectThatItMentions() throws Exception {
      try (MirrorSetup c = new MirrorSetup()) {
        c.store.page(item("a", 1), item("b", 2));
        c.start();
        await(() -> c.names.equals(Set.of("a", "b")));
        String bad = item("m", 101, "{\"metadata\":{\"name\":\"b\"},}");
        c.store.page(item("a", 1), item("b", 2), bad);
        c.store.events(event(bad), event(item("c", 101)));
        await(() -> c.names.contains("c"));
        assertEquals(c.names, Set.of("a", "b", "c"));
      }
    }

    @Test
    public void removesTheObjectOfItsName() throws Exception {
      try (MirrorSetup c = new MirrorSetup()) {
        c.store.page(item("a", 1), item("b", 2));
        c.start();
        await(() -> c.names.equals(Set.of("a", "b")));
        c.store.events(event("{\"metadata\":{\"name\":\"b\",\"revision\":[]},\"spec\":{}}"));
        await(() -> c.names.equals(Set.of("a")));
        assertEquals(c.store.lists.get(), 1);
      }
    }

    @Test
    public void doesNotCauseEndlessCalls() throws Exception {
      try (MirrorSetup c = new MirrorSetup()) {
        c.store.page(item("a", 1));
        c.start();
        await(() -> c.names.equals(Set.of("a")));
        c.store.events("null", "3", event("null"));
        int before = c.store.watches.get();
        Thread.sleep(1_000);
        int calls = c.store.watches.get() - before;
        assertTrue(calls <= 8, calls + " watches in a second");
        assertEquals(c.store.lists.get(), 2, "one more list for objects without a name");
      }
    }
  }

  /** Tests of answers whose list, version or page flag is unreadable. */
  public static class Envelope {
    @DataProvider
    static Object[][] frames() {
      return new Object[][] {
        {""},
        {"null"},
        {"{\"items\":null,\"as_of\":1}"},
        {"{\"items\":{},\"as_of\":1}"},
        {"{\"items\":[]}"},
        {"{\"items\":[],\"as_of\":null}"},
        {"{\"items\":[],\"as_of\":1.5}"},
        {"{\"items\":[],\"as_of\":1,\"more_pages\":\"yes\"}"},
        {"{\"items\":[],\"as_of\":1,\"more_pages\":true}"},
        {"{\"items\":[{}],\"as_of\":1,\"more_pages\":true}"},
        {"{\"items\":["},
        {"{\"items\":[],\u0001\"as_of\":1}"},
      };
    }

    @Test(dataProvider = "frames", expectedExceptions = ObjectApiException.class)
    public void isNotReadAsEmptyPage(String frame) {
      PlatformObjectApi.page(
          ListQuery.of(PlatformNames.SERVERS_KIND), 1, frame.getBytes(ISO_8859_1));
    }
  }

  /** Tests of invalid upstream entries in the store of a node. */
  public static class UpstreamEntries {
    static RawServer.Script answers(String body) {
      return (r, out, s) ->
          RawServer.write(
              out,
              "HTTP/1.1 200 X\r\nX-Request-Id: id-1\r\nX-Server-Stamp: s\r\nContent-Length: "
                  + body.length()
                  + "\r\n\r\n"
                  + body);
    }

    private static ObjectNode entry(RawServer runner) {
      return Entries.valid().put("address", runner.address()).put("zone", "dc-1");
    }

    @DataProvider
    static Object[][] bad() {
      return new Object[][] {
        {"{\"address\":\"10.0.0.1\"}"},
        {"{\"state\":\"paused\"}"},
        {"{\"stage\":\"middle\"}"},
        {"{\"slots\":\"6\"}"},
        {"{\"born\":1.5}"},
      };
    }

    @Test(dataProvider = "bad")
    public void becomeUnusedIfInvalidAndDoNotAffectOthers(String change) throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured();
          RawServer other = new RawServer(answers("other"))) {
        RawServer runner = w.runner("i-1", "app", "", answers("bad"));
        ObjectNode bad = entry(runner);
        bad.setAll((ObjectNode) Json.parse(change.getBytes(UTF_8)));
        w.store.put(PlatformNames.SERVERS_KIND, "i-1", bad);
        await(() -> served(w).startsWith("HTTP/1.1 503"));
        w.store.put(PlatformNames.SERVERS_KIND, "i-2", entry(other));
        await(() -> served(w).endsWith("other"));
      }
    }

    private static String served(RelayTestSetup w) {
      try {
        return w.exchange("GET", "/safe/a", "", "");
      } catch (IOException e) {
        return "";
      }
    }
  }

  /** Tests of the log lines about unreadable entries. */
  public static class LogLines {
    private final Logger logger =
        (Logger) LoggerFactory.getLogger("org.larkkeel.daemon.relay.UnreadableEntries");

    private ListAppender<ILoggingEvent> lines() {
      ListAppender<ILoggingEvent> lines = new ListAppender<>();
      lines.list = new CopyOnWriteArrayList<>();
      lines.start();
      logger.addAppender(lines);
      return lines;
    }

    private static long count(ListAppender<ILoggingEvent> lines, String part) {
      return lines.list.stream().filter(e -> e.getFormattedMessage().contains(part)).count();
    }

    @Test
    public void appearOnceForConfigurationWhileThePreviousStaysInForce() throws Exception {
      ListAppender<ILoggingEvent> lines = lines();
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        for (int i = 2; i < 5; i++) {
          w.store.put("config", "main", Json.object().put("version", i).put("routes", "none"));
          Thread.sleep(300);
        }
        w.runner("i-1", "app", "", UpstreamEntries.answers("ok"));
        assertTrue(w.exchange("GET", "/safe/a", "", "").endsWith("ok"));
      }
      logger.detachAppender(lines);
      assertEquals(count(lines, "reason=WRONG_TYPE field=routes found=\"'none'\""), 1);
    }

    @Test
    public void appearForServiceThatNoConfigurationNames() throws Exception {
      ListAppender<ILoggingEvent> lines = lines();
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        w.runner("i-1", "app", "", UpstreamEntries.answers("ok"));
        w.runner("i-2", "other", "", UpstreamEntries.answers("other"));
        await(() -> count(lines, "name=\"i-2\" reason=UNNAMED_SERVICE") == 1);
        assertTrue(w.exchange("GET", "/safe/a", "", "").endsWith("ok"));
      }
      logger.detachAppender(lines);
      assertEquals(count(lines, "event=entry_unreadable"), 1);
    }
  }
}
