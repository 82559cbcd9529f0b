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
 * Tests of a store that is restored from a backup some seconds old, and assigns versions again.
 *
 * <p>Guards against nodes that ignore changes after the restore because their versions are not
 * newer than the known ones, and against nodes that forget confirmed changes that the backup lacks.
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

  /** Starts a runner, and returns the count of its requests. */
  private static AtomicInteger counted(RelayTestSetup w, String id) {
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

  private static void call(RelayTestSetup w, int times) throws IOException {
    for (int i = 0; i < times; i++) {
      w.exchange("POST", "/once/a", "", "x");
    }
  }

  /** Writes changes that the restored store loses, so that versions go back by their number. */
  private static void write(RelayTestSetup w, int times) throws InterruptedException {
    for (int i = 0; i < times; i++) {
      w.configure(2 + i);
    }
    Thread.sleep(300);
  }

  private static boolean isServed(RelayTestSetup w, String path) throws IOException {
    return w.exchange("POST", path, "", "x").startsWith("HTTP/1.1 200");
  }

  /** Tests of changes that are written after the restore. */
  public static class AfterRestore extends RestoredStoreTest {
    @Test
    public void configurationComesIntoForceInTime() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        w.runner("i-1", "app", "", OK);
        StoreStandin.Snapshot copy = w.store.snapshot();
        write(w, WRITES);
        w.store.restore(copy);
        Thread.sleep(500);
        w.configure(100, "added");
        Thread.sleep(IN_FORCE_MILLIS);
        assertTrue(isServed(w, "/added/a"), "the added rule is not in force");
      }
    }

    @Test
    public void configurationWithReassignedVersionComesIntoForceInTime() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        w.runner("i-1", "app", "", OK);
        StoreStandin.Snapshot copy = w.store.snapshot();
        write(w, 1);
        w.store.restore(copy);
        w.configure(100, "added");
        Thread.sleep(IN_FORCE_MILLIS);
        assertTrue(isServed(w, "/added/a"), "the added rule is not in force");
      }
    }

    @Test
    public void leavingUpstreamIsNoticedInTime() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        AtomicInteger got = counted(w, "i-1");
        w.runner("i-2", "app", "", SLOW);
        call(w, CALLS);
        assertTrue(got.get() > CALLS / 2, "the fast runner does not get most requests");
        StoreStandin.Snapshot copy = w.store.snapshot();
        write(w, WRITES);
        w.store.restore(copy);
        Thread.sleep(500);
        w.setState("i-1", "app", "draining");
        Thread.sleep(IN_FORCE_MILLIS);
        int before = got.get();
        call(w, CALLS);
        assertEquals(got.get(), before);
      }
    }

    @Test
    public void storeGetsFewCalls() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        StoreStandin.Snapshot copy = w.store.snapshot();
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

  /** Tests of changes that were confirmed before the restore and are missing in the backup. */
  public static class BeforeRestore extends RestoredStoreTest {
    @Test
    public void configurationStaysInForce() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        w.runner("i-1", "app", "", OK);
        StoreStandin.Snapshot copy = w.store.snapshot();
        w.configure(7, "added");
        RelayTestSetup.await(() -> isServedNow(w));
        w.store.restore(copy);
        Thread.sleep(1_000);
        assertTrue(isServed(w, "/added/a"), "an older configuration came into force");
      }
    }

    private static boolean isServedNow(RelayTestSetup w) {
      try {
        return isServed(w, "/added/a");
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    @Test
    public void leavingUpstreamStaysUnused() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        AtomicInteger got = counted(w, "i-1");
        w.runner("i-2", "app", "", SLOW);
        call(w, CALLS);
        assertTrue(got.get() > CALLS / 2, "the fast runner does not get most requests");
        StoreStandin.Snapshot copy = w.store.snapshot();
        w.setState("i-1", "app", "draining");
        Thread.sleep(500);
        w.store.restore(copy);
        Thread.sleep(1_500);
        int before = got.get();
        call(w, CALLS);
        assertEquals(got.get(), before, "requests to a leaving runner");
      }
    }

    @Test
    public void removedUpstreamStaysUnused() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        AtomicInteger got = counted(w, "i-1");
        w.runner("i-2", "app", "", SLOW);
        call(w, CALLS);
        assertTrue(got.get() > CALLS / 2, "the fast runner does not get most requests");
        StoreStandin.Snapshot copy = w.store.snapshot();
        w.store.delete("servers", "i-1");
        Thread.sleep(2_000);
        w.store.restore(copy);
        Thread.sleep(1_500);
        int before = got.get();
        call(w, CALLS);
        assertEquals(got.get(), before, "requests to a removed runner");
      }
    }

    @Test
    public void nodeRegistersItselfAgain() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup()) {
        StoreStandin.Snapshot empty = w.store.snapshot();
        w.configured();
        RelayTestSetup.await(() -> w.store.has("relay-nodes", "node-1"));
        w.store.restore(empty);
        w.configure(1);
        RelayTestSetup.await(() -> w.store.has("relay-nodes", "node-1"));
      }
    }
  }
}
