/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Tests of streams that go on while an engine has restarted and its entry is the previous one. */
public class UnlistedRestartTest {
  private static final String END = "0\r\n\r\n";
  private static final String STREAM =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Request-Id: id-1\r\n"
          + "X-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n";

  /** An engine that breaks new streams after an event and completes those that go on there. */
  private static final class Engine implements RawServer.Script {
    private final AtomicInteger continued = new AtomicInteger();

    @Override
    public void answer(RawServer.Request r, OutputStream out, Socket socket) throws IOException {
      boolean goesOn = r.header("Last-Event-Id") != null;
      String event = goesOn ? "id: 2\ndata: piece-2\n\n" : "id: 1\ndata: piece-1\n\n";
      RawServer.write(out, STREAM + "15\r\n" + event + "\r\n" + (goesOn ? END : ""));
      if (goesOn) {
        continued.incrementAndGet();
      } else {
        socket.close();
      }
    }
  }

  /** Streams that broke at another engine. */
  public static class BrokenStreams {
    /** Guards against events of an engine that restarted as another build before its entry says. */
    @Test
    public void goOnAtTheListedIncarnationOnly() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        Engine restarted = new Engine();
        Engine listed = new Engine();
        w.runner("i-run-1", "model", "decode", restarted);
        w.setReportedStart("i-run-1", RelayTestSetup.START_MILLIS + 1);
        w.runner("i-run-2", "model", "decode", listed);
        w.runner("i-run-3", "model", "decode", listed);
        for (int i = 0; i < 8; i++) {
          String got = w.exchange("POST", "/resume/a", "X-Model: m\r\n", "x");
          assertTrue(got.contains("piece-1"), got);
        }
        assertEquals(restarted.continued.get(), 0);
        assertTrue(listed.continued.get() > 0);
      }
    }

    /** Guards against a stream that ends although its only engine is the listed incarnation. */
    @Test
    public void goOnAtAnEngineThatConfirmsItself() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        w.runner("i-run-1", "model", "decode", new Engine());
        w.runner("i-run-2", "model", "decode", new Engine());
        String got = w.exchange("POST", "/resume/a", "X-Model: m\r\n", "x");
        assertTrue(got.contains("piece-2") && got.endsWith(END), got);
      }
    }
  }

  /** Streams that callers take up. */
  public static class ResumedStreams {
    /** Guards against a stream that is taken up at an engine of another build. */
    @Test
    public void areRefusedIfTheOnlyEngineHasRestarted() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        Engine restarted = new Engine();
        w.runner("i-run-1", "model", "decode", restarted);
        w.setReportedStart("i-run-1", RelayTestSetup.START_MILLIS + 1);
        String got = w.exchange("POST", "/resume/a", "X-Model: m\r\nLast-Event-Id: 1\r\n", "x");
        assertFalse(got.startsWith("HTTP/1.1 200"), got);
        assertEquals(restarted.continued.get(), 0);
      }
    }
  }
}
