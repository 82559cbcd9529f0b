/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/**
 * A store that comes back from a copy some seconds old, with versions that are given out again.
 *
 * <p>Guards against nodes that take what was confirmed since for old.
 */
public class RestoredStoreTest {
  private static final long IN_FORCE_MILLIS = 2_000;
  private static final int WRITES = 20;
  private static final int CALLS = 30;
  private static final String STAMP = "X-Request-Id: id-1\r\nX-Server-Stamp: s\r\n";

  private static final RawServer.Script OK =
      (r, out, s) ->
          RawServer.write(out, "HTTP/1.1 200 OK\r\n" + STAMP + "Content-Length: 2\r\n\r\nok");

  private static final RawServer.Script SLOW =
      (r, out, s) -> {
        Thread.sleep(100);
        OK.answer(r, out, s);
      };

  /** A runner that counts what it gets. */
  private static AtomicInteger counted(World w, String id) {
    AtomicInteger got = new AtomicInteger();
    w.runner(
        id,
        "app",
        "",
        (r, out, s) -> {
          got.incrementAndGet();
          OK.answer(r, out, s);
        });
    return got;
  }

  private static void call(World w, int times) throws IOException {
    for (int i = 0; i < times; i++) {
      w.exchange("POST", "/once/a", "", "x");
    }
  }

  /** Changes that are lost with the copy, so that versions go back by as many. */
  private static void write(World w, int times) throws InterruptedException {
    for (int i = 0; i < times; i++) {
      w.configure(2 + i);
    }
    Thread.sleep(300);
  }

  private static boolean isServed(World w, String path) throws IOException {
    return w.exchange("POST", path, "", "x").startsWith("HTTP/1.1 200");
  }

  /** What was written after the store came back. */
  public static class Since extends RestoredStoreTest {
    @Test
    public void isInForceInTimeIfItIsConfiguration() throws Exception {
      try (World w = new World().configured()) {
        w.runner("i-1", "app", "", OK);
        StoreStandin.Copy copy = w.store.copy();
        write(w, WRITES);
        w.store.restore(copy);
        Thread.sleep(500);
        w.configure(100, "added");
        Thread.sleep(IN_FORCE_MILLIS);
        assertTrue(isServed(w, "/added/a"), "the added rule is not in force");
      }
    }

    @Test
    public void isInForceInTimeIfItsVersionWasGivenOutBefore() throws Exception {
      try (World w = new World().configured()) {
        w.runner("i-1", "app", "", OK);
        StoreStandin.Copy copy = w.store.copy();
        write(w, 1);
        w.store.restore(copy);
        w.configure(100, "added");
        Thread.sleep(IN_FORCE_MILLIS);
        assertTrue(isServed(w, "/added/a"), "the added rule is not in force");
      }
    }

    @Test
    public void isInForceInTimeIfAnUpstreamLeaves() throws Exception {
      try (World w = new World().configured()) {
        AtomicInteger got = counted(w, "i-1");
        w.runner("i-2", "app", "", SLOW);
        call(w, CALLS);
        assertTrue(got.get() > CALLS / 2, "the quicker one is not chosen");
        StoreStandin.Copy copy = w.store.copy();
        write(w, WRITES);
        w.store.restore(copy);
        Thread.sleep(500);
        w.state("i-1", "app", "draining");
        Thread.sleep(IN_FORCE_MILLIS);
        int before = got.get();
        call(w, CALLS);
        assertEquals(got.get(), before);
      }
    }

    @Test
    public void isAskedForFewTimes() throws Exception {
      try (World w = new World().configured()) {
        StoreStandin.Copy copy = w.store.copy();
        write(w, WRITES);
        w.store.restore(copy);
        Thread.sleep(500);
        int before = w.store.calls();
        Thread.sleep(2_000);
        int calls = w.store.calls() - before;
        assertTrue(calls <= 30, calls + " calls in 2 s");
      }
    }
  }

  /** What was confirmed before, and the copy does not have. */
  public static class Before extends RestoredStoreTest {
    @Test
    public void staysInForceIfItIsConfiguration() throws Exception {
      try (World w = new World().configured()) {
        w.runner("i-1", "app", "", OK);
        StoreStandin.Copy copy = w.store.copy();
        w.configure(7, "added");
        World.await(() -> isServedNow(w));
        w.store.restore(copy);
        Thread.sleep(1_000);
        assertTrue(isServed(w, "/added/a"), "an older configuration came back");
      }
    }

    private static boolean isServedNow(World w) {
      try {
        return isServed(w, "/added/a");
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    @Test
    public void staysKnownIfAnUpstreamLeaves() throws Exception {
      try (World w = new World().configured()) {
        AtomicInteger got = counted(w, "i-1");
        w.runner("i-2", "app", "", SLOW);
        call(w, CALLS);
        assertTrue(got.get() > CALLS / 2, "the quicker one is not chosen");
        StoreStandin.Copy copy = w.store.copy();
        w.state("i-1", "app", "draining");
        Thread.sleep(500);
        w.store.restore(copy);
        Thread.sleep(1_500);
        int before = got.get();
        call(w, CALLS);
        assertEquals(got.get(), before, "requests to one that leaves");
      }
    }

    @Test
    public void staysKnownIfAnUpstreamIsGone() throws Exception {
      try (World w = new World().configured()) {
        AtomicInteger got = counted(w, "i-1");
        w.runner("i-2", "app", "", SLOW);
        call(w, CALLS);
        assertTrue(got.get() > CALLS / 2, "the quicker one is not chosen");
        StoreStandin.Copy copy = w.store.copy();
        w.store.delete("servers", "i-1");
        Thread.sleep(2_000);
        w.store.restore(copy);
        Thread.sleep(1_500);
        int before = got.get();
        call(w, CALLS);
        assertEquals(got.get(), before, "requests to one that is gone");
      }
    }

    @Test
    public void isWrittenAgainIfItIsTheNodeItself() throws Exception {
      try (World w = new World()) {
        StoreStandin.Copy empty = w.store.copy();
        w.configured();
        World.await(() -> w.store.has("relay-nodes", "node-1"));
        w.store.restore(empty);
        w.configure(1);
        World.await(() -> w.store.has("relay-nodes", "node-1"));
      }
    }
  }
}
