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
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of runners that announce in their answers that they leave, or ask for a backoff.
 *
 * <p>Guards against nodes that ignore these headers. While the store was down, a node still sent
 * new requests to a leaving runner seconds after its announcement, and a runner that had refused a
 * request and asked for three seconds of backoff got seven more requests from the same node.
 */
public class LeavingAndBackoffTest {
  private static final String ECHO = "X-Request-Id: id-1\r\n";
  private static final String STAMP = ECHO + "X-Server-Stamp: s\r\n";
  private static final String NOT_RUN = ECHO + "X-Not-Run: 1\r\n";
  private static final String LEAVING = "Server-Leaving: 1\r\n";
  private static final String TOKENS = "X-Token-Usage: 1000,100\r\nX-Prefix-Hash: 5c:1000\r\n";
  private static final int CALLS = 30;
  private static final int SLOW_MILLIS = 40;

  private static void answer(OutputStream out, String status, String headers, String body)
      throws IOException {
    RawServer.write(
        out,
        "HTTP/1.1 "
            + status
            + "\r\n"
            + headers
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  private static void ok(OutputStream out) throws IOException {
    answer(out, "200 OK", STAMP, "ok");
  }

  private static void stream(OutputStream out, String headers) throws IOException {
    String event = "id: 1\ndata: x\n\n";
    RawServer.write(
        out,
        "HTTP/1.1 200 OK\r\n"
            + STAMP
            + headers
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            + Integer.toHexString(event.length())
            + "\r\n"
            + event
            + "\r\n0\r\n\r\n");
  }

  /**
   * Starts a fast and a slow runner of a plain service, and counts the requests to the fast one.
   */
  private static AtomicInteger fastAndSlowRunner(RelayTestSetup w, RawServer.Script script) {
    AtomicInteger got = new AtomicInteger();
    w.runner(
        "i-1",
        "app",
        "",
        (r, out, s) -> {
          got.incrementAndGet();
          script.answer(r, out, s);
        });
    w.runner(
        "i-2",
        "app",
        "",
        (r, out, s) -> {
          Thread.sleep(SLOW_MILLIS);
          ok(out);
        });
    return got;
  }

  private static void call(RelayTestSetup w, int times) throws IOException {
    for (int i = 0; i < times; i++) {
      String answer = w.exchange("POST", "/once/a", "", "x");
      assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
    }
  }

  private static void callUntilFirstIsChosen(RelayTestSetup w, AtomicInteger got)
      throws IOException {
    int before = got.get();
    for (int i = 0; i < 200 && got.get() == before; i++) {
      call(w, 1);
    }
    assertTrue(got.get() > before, "the fast runner is never chosen");
  }

  /** Tests of leaving runners. */
  public static class Leaving {
    /** Answers that announce leaving. */
    @DataProvider
    public static Object[][] answers() {
      RawServer.Script success = (r, out, s) -> answer(out, "200 OK", STAMP + LEAVING, "ok");
      RawServer.Script declined = (r, out, s) -> answer(out, "503 X", NOT_RUN + LEAVING, "");
      return new Object[][] {{"success", success}, {"declined", declined}};
    }

    @Test(dataProvider = "answers")
    public void getNoRequestsAfterAnswerAnnouncedIt(String name, RawServer.Script script)
        throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        AtomicInteger got = fastAndSlowRunner(w, script);
        callUntilFirstIsChosen(w, got);
        call(w, CALLS);
        assertEquals(got.get(), 1, name);
      }
    }

    @Test
    public void stayUnusedIfTheEntryIsStillReady() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        AtomicInteger got =
            fastAndSlowRunner(w, (r, out, s) -> answer(out, "200 OK", STAMP + LEAVING, "ok"));
        callUntilFirstIsChosen(w, got);
        for (int i = 0; i < 3; i++) {
          w.rewriteEntry("i-1", "app", "", RelayTestSetup.START_MILLIS, i);
          Thread.sleep(300);
          call(w, CALLS / 3);
        }
        assertEquals(got.get(), 1);
      }
    }

    @Test
    public void areUsedAgainAfterRestart() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        AtomicInteger answers = new AtomicInteger();
        AtomicInteger got =
            fastAndSlowRunner(
                w,
                (r, out, s) -> {
                  String leaves = answers.incrementAndGet() == 1 ? LEAVING : "";
                  answer(out, "200 OK", STAMP + leaves, "ok");
                });
        callUntilFirstIsChosen(w, got);
        w.rewriteEntry("i-1", "app", "", RelayTestSetup.START_MILLIS + 1, 0);
        callUntilFirstIsChosen(w, got);
      }
    }

    @Test
    public void getNoRequestsAfterPrefillAnswerAnnouncedIt() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        AtomicInteger read = new AtomicInteger();
        w.runner(
            "i-1",
            "model",
            "prefill",
            (r, out, s) -> {
              read.incrementAndGet();
              answer(out, "200 OK", ECHO + LEAVING, "{\"prefill_handle\":\"h1\"}");
            });
        w.runner("i-2", "model", "decode", (r, out, s) -> stream(out, ""));
        for (int i = 0; i < 5; i++) {
          w.exchange("POST", "/resume/a", TOKENS, "x");
        }
        assertEquals(read.get(), 1);
      }
    }

    @Test
    public void areNotAskedToFreeHandlesThatExpire() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        AtomicInteger freed = new AtomicInteger();
        w.runner(
            "i-1",
            "model",
            "prefill",
            (r, out, s) -> {
              if (r.method().equals("DELETE")) {
                freed.incrementAndGet();
              }
              answer(out, "200 OK", ECHO + LEAVING, "{\"prefill_handle\":\"h1\"}");
            });
        w.runner("i-2", "model", "decode", (r, out, s) -> s.close());
        w.exchange("POST", "/stream/a", TOKENS, "x");
        Thread.sleep(100);
        assertEquals(freed.get(), 0);
      }
    }

    @Test
    public void getNoRequestsAfterStreamAnnouncedIt() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        AtomicInteger ran = new AtomicInteger();
        w.runner(
            "i-1",
            "model",
            "decode",
            (r, out, s) -> {
              ran.incrementAndGet();
              stream(out, LEAVING);
            });
        w.exchange("POST", "/resume/a", TOKENS, "x");
        String second = w.exchange("POST", "/resume/a", TOKENS, "x");
        assertTrue(second.startsWith("HTTP/1.1 503"), second);
        assertEquals(ran.get(), 1);
      }
    }
  }

  /** Tests of runners that refuse a request and ask for a backoff. */
  public static class Backoff {
    private static final Pattern RETRY_AFTER = Pattern.compile("Retry-After: ([0-9.]+)");

    private static RawServer.Script refuseWithRetryAfter(String seconds) {
      return (r, out, s) -> answer(out, "503 X", NOT_RUN + "Retry-After: " + seconds + "\r\n", "");
    }

    @Test
    public void endsAfterTheRequestedTime() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        AtomicInteger got = fastAndSlowRunner(w, refuseWithRetryAfter("2.5"));
        callUntilFirstIsChosen(w, got);
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < 2_000_000_000L) {
          call(w, 1);
          Thread.sleep(20);
        }
        assertEquals(got.get(), 1);
        Thread.sleep(700);
        callUntilFirstIsChosen(w, got);
      }
    }

    @Test
    public void isReportedAsRetryAfterIfNoRunnerIsLeft() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        w.runner("i-1", "app", "", refuseWithRetryAfter("3"));
        w.exchange("POST", "/once/a", "", "x");
        long startNanos = System.nanoTime();
        String answer = w.exchange("POST", "/once/a", "", "x");
        assertTrue(
            System.nanoTime() - startNanos < 500_000_000L,
            "the call waited although all runners are in backoff");
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        Matcher retry = RETRY_AFTER.matcher(answer);
        assertTrue(retry.find(), answer);
        double seconds = Double.parseDouble(retry.group(1));
        assertTrue(seconds > 2 && seconds < 5, answer);
      }
    }

    /** Invalid times, and 0. */
    @DataProvider
    public static Object[][] invalidTimes() {
      return new Object[][] {
        {"-1"}, {"soon"}, {""}, {"NaN"}, {"0x10"}, {"Wed, 21 Oct 2026 07:28:00 GMT"}, {"0"}
      };
    }

    @Test(dataProvider = "invalidTimes")
    public void isShortForInvalidTimes(String time) throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        AtomicInteger got = fastAndSlowRunner(w, refuseWithRetryAfter(time));
        callUntilFirstIsChosen(w, got);
        Thread.sleep(1_100);
        callUntilFirstIsChosen(w, got);
      }
    }

    @Test
    public void isLongForVeryLongTimes() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        AtomicInteger got = fastAndSlowRunner(w, refuseWithRetryAfter("9".repeat(400)));
        callUntilFirstIsChosen(w, got);
        Thread.sleep(1_100);
        call(w, CALLS);
        assertEquals(got.get(), 1);
      }
    }
  }
}
