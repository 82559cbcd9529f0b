/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.OutputStream;
import java.net.Socket;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.lib.Closer;
import org.larkkeel.store.ExecutorScheduler;
import org.larkkeel.store.HttpClientOptions;
import org.larkkeel.store.ListQuery;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of answers of the store that take longer than the timeout of a call.
 *
 * <p>Guards against a node with a slow link that never reads a large configuration: each list was
 * ended by its timeout while its bytes arrived, and began anew.
 */
public class SlowTransferTest {
  private static final Duration TIMEOUT = Duration.ofMillis(400);
  private static final long PAUSE_MILLIS = 150;
  private static final int PARTS = 8;

  private Closer closer;
  private PlatformObjectApi api;
  private volatile int sentParts;

  /** Starts a store that sends its answers in parts. */
  @BeforeMethod
  public void open() {
    closer = new Closer();
    sentParts = PARTS;
    RawServer server = closer.add(new RawServer(this::serve));
    HttpClientOptions options =
        HttpClientOptions.of(URI.create("http://" + server.address())).withTimeout(TIMEOUT);
    ExecutorScheduler scheduler = closer.add(new ExecutorScheduler("test-store"));
    HttpWorker worker = closer.add(new HttpWorker(1));
    api = new PlatformObjectApi(options, worker.worker(), scheduler);
  }

  /** Stops all parts. */
  @AfterMethod(alwaysRun = true)
  public void close() throws Exception {
    closer.close();
  }

  private void serve(RawServer.Request r, OutputStream out, Socket socket) throws Exception {
    String padding = " ".repeat(100 * PARTS);
    String body = "{\"items\":[]," + padding + "\"more_pages\":false,\"as_of\":9}";
    RawServer.write(out, "HTTP/1.1 200 X\r\nContent-Length: " + body.length() + "\r\n\r\n");
    int part = body.length() / PARTS + 1;
    for (int i = 0; i < sentParts; i++) {
      Thread.sleep(PAUSE_MILLIS);
      RawServer.write(out, body.substring(i * part, Math.min(body.length(), (i + 1) * part)));
    }
    Thread.sleep(3 * TIMEOUT.toMillis());
  }

  @Test
  public void answerThatArrivesInPartsIsReadToItsEnd() throws Exception {
    assertEquals(
        api.list(ListQuery.of("things")).get(10, TimeUnit.SECONDS).resourceVersion().number(), 9);
  }

  @Test
  public void answerThatStopsMidwayEndsWithTheTimeout() throws Exception {
    sentParts = 2;
    long begin = System.nanoTime();
    assertFalse(
        api.list(ListQuery.of("things")).handle((ok, f) -> f == null).get(10, TimeUnit.SECONDS));
    long millis = (System.nanoTime() - begin) / 1_000_000;
    assertTrue(millis < 3 * TIMEOUT.toMillis(), millis + " ms");
  }
}
