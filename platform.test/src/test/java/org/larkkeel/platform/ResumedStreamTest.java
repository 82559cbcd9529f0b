/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of streams that resume at another upstream, whose answer has no further event. */
public class ResumedStreamTest {
  private static final String END = "0\r\n\r\n";
  private static final String HEAD =
      "X-Request-Id: id-1\r\nX-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n";
  private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";

  private static void startStream(OutputStream out) throws IOException {
    String event = "id: 1\ndata: piece-1\n\n";
    RawServer.write(out, CHUNKED + HEAD + "\r\n15\r\n" + event + "\r\n");
  }

  /** The answer of the second upstream, and whether it completes the stream. */
  @DataProvider
  static Object[][] answers() {
    String failure = "X-Request-Id: id-1\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nno";
    return new Object[][] {
      {CHUNKED + HEAD + "\r\n" + END, true},
      {"HTTP/1.1 200 OK\r\n" + HEAD + "\r\n", false},
      {"HTTP/1.1 200 OK\r\n" + failure, false},
      {"HTTP/1.1 204 X\r\nX-Request-Id: id-1\r\nX-Server-Stamp: s\r\n\r\n", false},
      {"HTTP/1.1 500 X\r\n" + failure, false},
      {"HTTP/1.1 400 X\r\n" + failure, false},
    };
  }

  /** Tests of callers that have received the beginning of the stream. */
  public static class Callers {
    /** Guards against streams that end regularly although the second upstream sent no stream. */
    @Test(dataProvider = "answers", dataProviderClass = ResumedStreamTest.class)
    public void seeWhetherTheStreamIsComplete(String answer, boolean complete) throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        RawServer.Script runner =
            (r, out, s) -> {
              if (r.header("Last-Event-Id") == null) {
                startStream(out);
                s.close();
                return;
              }
              RawServer.write(out, answer);
              s.close();
            };
        w.runner("i-run-1", "model", "decode", runner);
        w.runner("i-run-2", "model", "decode", runner);
        String got = w.exchange("POST", "/resume/a", "X-Model: m\r\n", "x");
        assertTrue(got.contains("piece-1"), got);
        assertEquals(got.endsWith(END), complete, got);
      }
    }
  }
}
