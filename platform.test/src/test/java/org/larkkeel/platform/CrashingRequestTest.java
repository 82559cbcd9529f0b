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
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.Test;

/**
 * Tests of a request that crashes each runner that runs it, over real connections.
 *
 * <p>Guards against retries that crash one runner after the other.
 */
public class CrashingRequestTest {
  private static final String CRASHES = "crash";
  private static final int RUNNERS = 5;
  private static final int MAX_CRASHES = 3;

  /** Runners that crash when they start to run the crashing request. */
  private static final class Runners {
    private final Map<String, RawServer> servers = new HashMap<>();
    private final AtomicInteger crashes = new AtomicInteger();

    Runners(RelayTestSetup w) {
      for (int i = 0; i < RUNNERS; i++) {
        String id = "i-" + i;
        servers.put(id, w.runner(id, "app", "", (r, out, s) -> run(id, r, out)));
      }
    }

    private void run(String id, RawServer.Request r, java.io.OutputStream out) throws IOException {
      if (r.body().equals(CRASHES)) {
        crashes.incrementAndGet();
        servers.get(id).close();
        throw new IOException("the runner has crashed");
      }
      RawServer.write(
          out,
          "HTTP/1.1 200 X\r\nX-Request-Id: id-1\r\nX-Server-Stamp: s\r\n"
              + "Content-Length: 2\r\n\r\nok");
    }
  }

  private static String send(RelayTestSetup w, String body) throws Exception {
    String answer = w.exchange("POST", "/once/a", "", body);
    Thread.sleep(50);
    return answer;
  }

  @Test
  public void crashesAtMostThreeRunners() throws Exception {
    try (RelayTestSetup w = new RelayTestSetup().configured()) {
      Runners runners = new Runners(w);
      for (int i = 0; i < RUNNERS; i++) {
        send(w, CRASHES);
      }
      assertEquals(runners.crashes.get(), MAX_CRASHES);
      assertTrue(send(w, CRASHES).startsWith("HTTP/1.1 503"));
      assertTrue(send(w, "another").startsWith("HTTP/1.1 200"));
    }
  }

  @Test
  public void isNotSentByNodeThatStartsAfterTheCrashes() throws Exception {
    try (RelayTestSetup w = new RelayTestSetup().configured()) {
      final Runners runners = new Runners(w);
      for (int i = 0; i < MAX_CRASHES; i++) {
        send(w, CRASHES);
      }
      RelayTestSetup.await(() -> w.store.content("relay-nodes", "node-1").has("quarantine"));
      w.restartNode();
      assertTrue(send(w, CRASHES).startsWith("HTTP/1.1 503"));
      assertEquals(runners.crashes.get(), MAX_CRASHES);
      assertTrue(send(w, "another").startsWith("HTTP/1.1 200"));
    }
  }

  @Test
  public void isListedForOperatorsAndSentAgainAfterRelease() throws Exception {
    try (RelayTestSetup w = new RelayTestSetup().configured()) {
      final Runners runners = new Runners(w);
      for (int i = 0; i < MAX_CRASHES; i++) {
        send(w, CRASHES);
      }
      String listed = askOperatorApi(w, "GET", "/quarantine");
      Matcher request = Pattern.compile("\"request\":\"([0-9a-f]{32})\"").matcher(listed);
      assertTrue(request.find(), listed);
      assertFalse(listed.contains(CRASHES), "operators must not see the body");
      assertTrue(askOperatorApi(w, "DELETE", "/quarantine/nothing").startsWith("HTTP/1.1 400"));
      String unknown = "/quarantine/" + "0".repeat(32);
      assertTrue(askOperatorApi(w, "DELETE", unknown).startsWith("HTTP/1.1 404"));
      assertTrue(
          askOperatorApi(w, "DELETE", "/quarantine/" + request.group(1))
              .startsWith("HTTP/1.1 200"));
      send(w, CRASHES);
      assertEquals(runners.crashes.get(), MAX_CRASHES + 1);
    }
  }

  private static String askOperatorApi(RelayTestSetup w, String method, String path)
      throws IOException {
    return RawClient.exchange(w.metricsAddress(), method, path, "", "");
  }

  /** A broken connection does not count as a crash. */
  @Test
  public void isServedAfterBrokenConnections() throws Exception {
    try (RelayTestSetup w = new RelayTestSetup().configured()) {
      AtomicInteger broken = new AtomicInteger();
      w.runner(
          "i-1",
          "app",
          "",
          (r, out, s) -> {
            if (broken.incrementAndGet() <= 2 * MAX_CRASHES) {
              throw new IOException("the connection breaks");
            }
            RawServer.write(
                out,
                "HTTP/1.1 200 X\r\nX-Request-Id: id-1\r\nX-Server-Stamp: s\r\n"
                    + "Content-Length: 2\r\n\r\nok");
          });
      for (int i = 0; i < 2 * MAX_CRASHES; i++) {
        send(w, CRASHES);
        Thread.sleep(100);
      }
      RelayTestSetup.await(() -> answers(w));
    }
  }

  private static boolean answers(RelayTestSetup w) {
    try {
      return send(w, CRASHES).startsWith("HTTP/1.1 200");
    } catch (Exception e) {
      throw new AssertionError(e);
    }
  }
}
