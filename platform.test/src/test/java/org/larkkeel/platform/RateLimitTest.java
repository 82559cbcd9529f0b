/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.larkkeel.relay.RateLimitNotice;
import org.larkkeel.relay.RequestRate;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of runners that announce in their answers the rate limit for the requests of all nodes.
 *
 * <p>Guards against requests beyond such a limit.
 */
public class RateLimitTest {
  private static final String STAMP = "X-Request-Id: id-1\r\nX-Server-Stamp: s\r\n";
  private static final int SLOW_MILLIS = 100;

  private static String limit(String value) {
    return "Server-Limit: " + value + "\r\n";
  }

  private static void ok(OutputStream out, String headers) throws IOException {
    RawServer.write(out, "HTTP/1.1 200 OK\r\n" + STAMP + headers + "Content-Length: 2\r\n\r\nok");
  }

  /** Starts a fast runner whose headers may change, and a slow one; counts requests to the fast. */
  private static AtomicInteger runners(RelayTestSetup w, String[] headers) {
    AtomicInteger got = new AtomicInteger();
    w.runner(
        "i-1",
        "app",
        "",
        (r, out, s) -> {
          got.incrementAndGet();
          ok(out, headers[0]);
        });
    w.runner(
        "i-2",
        "app",
        "",
        (r, out, s) -> {
          Thread.sleep(SLOW_MILLIS);
          ok(out, "");
        });
    return got;
  }

  private static void callFor(RelayTestSetup w, long millis) throws IOException {
    long end = System.nanoTime() + millis * 1_000_000L;
    while (System.nanoTime() < end) {
      String answer = w.exchange("POST", "/once/a", "", "x");
      assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
    }
  }

  /** Tests of the requests that reach a runner. */
  public static class Requests extends RateLimitTest {
    @Test
    public void stayWithinTheLimitAndUseIt() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        AtomicInteger got = runners(w, new String[] {limit("5")});
        callFor(w, 1_000);
        int before = got.get();
        callFor(w, 4_000);
        int inWindow = got.get() - before;
        assertTrue(inWindow <= 35, inWindow + " requests in 4 s at 5 a second");
        assertTrue(inWindow >= 12, inWindow + " requests in 4 s at 5 a second");
      }
    }

    @Test
    public void haveTheirLimitShownToOperators() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        runners(w, new String[] {limit("5")});
        callFor(w, 500);
        String shown = RawClient.exchange(w.metricsAddress(), "GET", "/upstream-limits", "", "");
        assertTrue(shown.contains("\"upstream\":\"i-1\""), shown);
        assertTrue(shown.contains("\"perSecond\":5.0"), shown);
      }
    }

    @Test
    public void areUnlimitedAgainOnceTheRunnerAnnouncesNoLimit() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        String[] headers = {limit("2")};
        final AtomicInteger got = runners(w, headers);
        callFor(w, 1_500);
        headers[0] = "";
        callFor(w, 1_500);
        int before = got.get();
        callFor(w, 1_000);
        assertTrue(got.get() - before >= 20, got.get() - before + " requests");
      }
    }

    @Test
    public void areBoundedByTheLastValidLimit() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        String[] headers = {limit("2")};
        AtomicInteger got = runners(w, headers);
        callFor(w, 1_000);
        headers[0] = limit("much");
        int before = got.get();
        callFor(w, 3_000);
        int inWindow = got.get() - before;
        assertTrue(inWindow <= 14, inWindow + " requests in 3 s at 2 a second");
      }
    }
  }

  /** Tests of the header's syntax. */
  public static class Header extends RateLimitTest {
    private static RateLimitNotice read(String... values) {
      return new PlatformDialect()
          .notice(
              200,
              name -> name.equals(new HttpString("Server-Limit")) ? List.of(values) : List.of())
          .rate();
    }

    @Test
    public void acceptsDecimalNumbers() {
      assertEquals(read("5.2"), new RateLimitNotice.Limited(RequestRate.perSecond(5.2)));
      assertEquals(read(" 40 "), new RateLimitNotice.Limited(RequestRate.perSecond(40)));
    }

    @Test
    public void meansUnlimitedIfMissing() {
      assertEquals(read(), new RateLimitNotice.Unlimited());
    }

    /** Invalid values. */
    @DataProvider
    public static Object[][] invalidValues() {
      return new Object[][] {
        {"0"}, {"0.0"}, {"-1"}, {"5,2"}, {"NaN"}, {"1e3"}, {""}, {"9".repeat(400)}, {"1000001"}
      };
    }

    @Test(dataProvider = "invalidValues")
    public void isIgnoredIfInvalid(String value) {
      assertEquals(read(value), RateLimitNotice.UNKNOWN);
    }

    @Test
    public void isIgnoredIfGivenTwice() {
      assertEquals(read("5", "50"), RateLimitNotice.UNKNOWN);
    }
  }
}
