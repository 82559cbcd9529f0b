/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.net.URI;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.lib.Closer;
import org.larkkeel.store.ExecutorScheduler;
import org.larkkeel.store.HttpClientOptions;
import org.larkkeel.store.ListQuery;
import org.larkkeel.store.ObjectPage;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.WatchEvent;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of answers of the store that end after each of their bytes.
 *
 * <p>A list of which a part is missing must not be read: its other objects would count as deleted.
 * A watch of which a part is missing must not be read: its other changes would be skipped.
 */
public class CutStoreAnswerTest {
  private static final String FIRST =
      ScriptedStore.item("a", 1, "{\"slots\":1,\"models\":[\"m\",{\"n\":[]}]}");
  private static final String SECOND = ScriptedStore.item("b", 2, "{\"models\":[]}");
  private static final String LIST =
      "{\"more_pages\":false,\"as_of\":9,\"items\":[" + FIRST + "," + SECOND + "]}";
  private static final String EVENTS =
      "{\"as_of\":9,\"events\":["
          + ScriptedStore.event(FIRST)
          + ","
          + ScriptedStore.event(SECOND)
          + "]}";

  /** How the head says where the body ends. */
  enum Framing {
    LENGTH("Content-Length: %d\r\n"),
    NEITHER("");

    private final String header;

    Framing(String header) {
      this.header = header;
    }

    private String answer(String body) {
      return "HTTP/1.1 200 OK\r\n" + header.formatted(body.length()) + "\r\n" + body;
    }
  }

  /** A store that closes the connection after a part of its answer, and the API over it. */
  public abstract static class Setup {
    private final Queue<WatchEvent> events = new ConcurrentLinkedQueue<>();
    private volatile String answer;
    private Closer closer;
    private PlatformObjectApi api;

    /** Starts the store. */
    @BeforeMethod
    public void open() {
      closer = new Closer();
      RawServer server =
          closer.add(
              new RawServer(
                  (r, out, s) -> {
                    RawServer.write(out, answer);
                    s.close();
                  }));
      HttpClientOptions options =
          HttpClientOptions.of(URI.create("http://" + server.address()))
              .withTimeout(Duration.ofSeconds(5));
      ExecutorScheduler scheduler = closer.add(new ExecutorScheduler("test-store"));
      HttpWorker worker = closer.add(new HttpWorker(1));
      api = new PlatformObjectApi(options, worker.worker(), scheduler);
    }

    /** Stops the store. */
    @AfterMethod(alwaysRun = true)
    public void close() throws Exception {
      closer.close();
    }

    ObjectPage list(String text) throws Exception {
      answer = text;
      return api.list(ListQuery.of("things")).get(10, TimeUnit.SECONDS);
    }

    ImmutableList<WatchEvent> watch(String text) throws Exception {
      answer = text;
      events.clear();
      api.watch("things", new StoreVersion(0, 5), Duration.ofSeconds(1), events::add)
          .ended()
          .get(10, TimeUnit.SECONDS);
      return ImmutableList.copyOf(events);
    }

    @DataProvider
    static Object[][] framings() {
      return new Object[][] {{Framing.LENGTH}, {Framing.NEITHER}};
    }
  }

  /** Lists. */
  public static class Lists extends Setup {
    /** Guards against a list whose last objects were cut off and count as deleted. */
    @Test(dataProvider = "framings")
    public void areNotReadIfCut(Framing framing) throws Exception {
      String whole = framing.answer(LIST);
      for (int i = 0; i < whole.length(); i++) {
        String part = whole.substring(0, i);
        assertThrows(ExecutionException.class, () -> list(part));
      }
      assertEquals(list(whole).items().size(), 2);
    }

    @Test(dataProvider = "framings")
    public void areReadDespiteMalformedObjectIfFramed(Framing framing) throws Exception {
      String whole = framing.answer(LIST.replace("\"slots\":1", "\"slots\":01"));
      if (framing == Framing.NEITHER) {
        assertThrows(ExecutionException.class, () -> list(whole));
      } else {
        assertEquals(list(whole).items().size(), 1);
      }
    }
  }

  /** Watches. */
  public static class Watches extends Setup {
    /** Guards against a watch that goes on behind changes which were cut off. */
    @Test(dataProvider = "framings")
    public void areNotReadIfCut(Framing framing) throws Exception {
      String whole = framing.answer(EVENTS);
      for (int i = 0; i < whole.length(); i++) {
        String part = whole.substring(0, i);
        assertThrows(ExecutionException.class, () -> watch(part));
      }
      ImmutableList<WatchEvent> read = watch(whole);
      assertEquals(read.size(), 3);
      assertTrue(read.getLast() instanceof WatchEvent.Bookmark, read.toString());
    }
  }
}
