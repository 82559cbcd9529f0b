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
 * Tests of watches as long-polling calls.
 *
 * <p>Guards against watches that continue after they are closed: closing one closed only the idle
 * connections of its client, not that of the waiting call. Connections stayed open for more than 3
 * s after the close, the store still counted the call as waiting, and its late events were applied
 * next to those of the newer watch.
 */
public class PlatformWatchTest {
  private static final Duration CALL = Duration.ofMillis(400);
  private static final int SOON_MILLIS = 3_000;

  /** A store that answers a watch when the test allows it, and the object API over it. */
  private static class WatchSetup {
    final BlockingQueue<Boolean> closedSoon = new LinkedBlockingQueue<>();
    final BlockingQueue<WatchEvent> events = new LinkedBlockingQueue<>();
    final Set<Integer> ports = ConcurrentHashMap.newKeySet();
    CountDownLatch received;
    CountDownLatch mayAnswer;
    Closer closer;
    PlatformObjectApi api;

    @BeforeMethod
    public void open() {
      closedSoon.clear();
      events.clear();
      ports.clear();
      received = new CountDownLatch(1);
      mayAnswer = new CountDownLatch(1);
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
      mayAnswer.countDown();
      closer.close();
    }

    Watch watch(Duration wait) {
      return api.watch("things", new StoreVersion(0, 5), wait, events::add);
    }

    private void serve(RawServer.Request r, OutputStream out, Socket socket) throws Exception {
      ports.add(socket.getPort());
      if (r.target().contains("watch=")) {
        received.countDown();
        closedSoon.add(isClosedSoon(socket));
        mayAnswer.await();
        write(out, "{\"events\":[],\"as_of\":9}");
      } else {
        write(out, "{\"items\":[],\"more_pages\":false,\"as_of\":9}");
      }
    }

    /** Returns whether the client closes the connection of a waiting call within 3 s. */
    private boolean isClosedSoon(Socket socket) throws IOException {
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

  /** Tests of watches that are closed before they are answered. */
  public static class Closed extends WatchSetup {
    @Test
    public void closeTheConnectionToTheStore() throws Exception {
      Watch w = watch(Duration.ofSeconds(20));
      assertTrue(received.await(SOON_MILLIS, TimeUnit.MILLISECONDS));
      w.close();
      assertTrue(closedSoon.take());
    }

    @Test
    public void deliverNoEventsAfterwards() throws Exception {
      Watch w = watch(Duration.ofSeconds(20));
      assertTrue(received.await(SOON_MILLIS, TimeUnit.MILLISECONDS));
      w.close();
      closedSoon.take();
      mayAnswer.countDown();
      assertNull(events.poll(500, TimeUnit.MILLISECONDS));
    }

    @Test
    public void areClosedEvenBeforeTheyAreSent() throws Exception {
      Watch w = watch(Duration.ofSeconds(20));
      w.close();
      if (received.await(500, TimeUnit.MILLISECONDS)) {
        assertTrue(closedSoon.take());
      }
    }
  }

  /** Tests of watches that time out. */
  public static class TimedOut extends WatchSetup {
    @Test
    public void leaveNoConnectionForReuse() throws Exception {
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
