/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.lib.Closer;
import org.larkkeel.store.ExecutorScheduler;
import org.larkkeel.store.HttpClientOptions;
import org.larkkeel.store.ListQuery;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.Watch;
import org.larkkeel.store.WatchEvent;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Watches of the store as calls that wait.
 *
 * <p>Seen: a node that takes its watch for dead closes it and begins another. The store went on
 * with the one before, counted its call as waiting, and what it told at last was taken in beside
 * what the newer watch had told. Cause: a close ended the idle connections of the watch's client,
 * and that of a waiting call is not idle. Proof: no connection ended within 3 s of the close, and
 * events of closed watches came.
 */
public class PlatformWatchTest {
  private static final Duration CALL = Duration.ofMillis(400);
  private static final int SOON_MILLIS = 3_000;

  /** A store that answers a watch when it is told to, and an API of it. */
  private static class Rig {
    final BlockingQueue<Boolean> ends = new LinkedBlockingQueue<>();
    final BlockingQueue<WatchEvent> events = new LinkedBlockingQueue<>();
    final Set<Integer> ports = ConcurrentHashMap.newKeySet();
    CountDownLatch asked;
    CountDownLatch answer;
    Closer closer;
    PlatformObjectApi api;

    @BeforeMethod
    public void open() {
      ends.clear();
      events.clear();
      ports.clear();
      asked = new CountDownLatch(1);
      answer = new CountDownLatch(1);
      closer = new Closer();
      RawServer server = closer.add(new RawServer(this::serve));
      HttpClientOptions options =
          HttpClientOptions.of(URI.create("http://" + server.address())).withTimeout(CALL);
      ExecutorScheduler scheduler = closer.add(new ExecutorScheduler("test-store"));
      HttpWorker worker = closer.add(new HttpWorker(1));
      api = new PlatformObjectApi(options, worker.worker(), scheduler);
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws Exception {
      answer.countDown();
      closer.close();
    }

    Watch watch(Duration wait) {
      return api.watch("things", new StoreVersion(0, 5), wait, events::add);
    }

    private void serve(RawServer.Request r, OutputStream out, Socket socket) throws Exception {
      ports.add(socket.getPort());
      if (r.target().contains("watch=")) {
        asked.countDown();
        ends.add(endsSoon(socket));
        answer.await();
        write(out, "{\"events\":[],\"as_of\":9}");
      } else {
        write(out, "{\"items\":[],\"more_pages\":false,\"as_of\":9}");
      }
    }

    /** Whether the other side ends a connection on which it waits. */
    private boolean endsSoon(Socket socket) throws IOException {
      socket.setSoTimeout(SOON_MILLIS);
      try {
        return socket.getInputStream().read() < 0;
      } catch (SocketTimeoutException e) {
        return false;
      } catch (IOException e) {
        return true;
      }
    }

    private static void write(OutputStream out, String body) throws IOException {
      RawServer.write(
          out, "HTTP/1.1 200 X\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }
  }

  /** Watches that are closed before they are answered. */
  public static class Closed extends Rig {
    @Test
    public void endTheCallAtTheStore() throws Exception {
      Watch w = watch(Duration.ofSeconds(20));
      assertTrue(asked.await(SOON_MILLIS, TimeUnit.MILLISECONDS));
      w.close();
      assertTrue(ends.take());
    }

    @Test
    public void tellNothingAfterwards() throws Exception {
      Watch w = watch(Duration.ofSeconds(20));
      assertTrue(asked.await(SOON_MILLIS, TimeUnit.MILLISECONDS));
      w.close();
      ends.take();
      answer.countDown();
      assertNull(events.poll(500, TimeUnit.MILLISECONDS));
    }

    @Test
    public void areEndedEvenBeforeTheyAreSent() throws Exception {
      Watch w = watch(Duration.ofSeconds(20));
      w.close();
      if (asked.await(500, TimeUnit.MILLISECONDS)) {
        assertTrue(ends.take());
      }
    }
  }

  /** Watches that are not answered in time. */
  public static class Silent extends Rig {
    @Test
    public void leaveNoConnectionToUseAgain() throws Exception {
      api.list(ListQuery.of("things")).get(SOON_MILLIS, TimeUnit.MILLISECONDS);
      assertEquals(ports.size(), 1);
      Watch w = watch(Duration.ofMillis(100));
      assertFalse(w.ended().handle((ok, f) -> f == null).get(10, TimeUnit.SECONDS));
      assertEquals(ports.size(), 2);
      api.list(ListQuery.of("things")).get(SOON_MILLIS, TimeUnit.MILLISECONDS);
      assertEquals(ports.size(), 3);
    }
  }
}
