/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.UncheckedIOException;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link PlatformStandin}. */
public class PlatformStandinTest {
  private static final String CONFIG_LOG = "/apis/larkkeel.org/v1/configlog";

  /** Starts a platform for each test. */
  public abstract static class WithPlatform {
    PlatformStandin platform;
    Http http;

    /** Starts the platform. */
    @BeforeMethod
    public void start() {
      platform =
          PlatformStandin.start(
              PlatformSettings.DEFAULTS.withHostLagMillis(0).withHistoryLimit(20));
      http = new Http(platform.address());
    }

    /** Stops the platform. */
    @AfterMethod
    public void stop() {
      platform.close();
    }

    static String object(String name, String version, int value) {
      return "{\"metadata\":{\"name\":\"%s\",\"resourceVersion\":\"%s\"},\"spec\":{\"value\":%d}}"
          .formatted(name, version, value);
    }

    Http.Answer create(String name) throws Exception {
      return http.call("POST", CONFIG_LOG, object(name, "", 0));
    }
  }

  /** Conditional writes. */
  public static class Writes extends WithPlatform {
    /**
     * Of concurrent creations of the same object, exactly one must succeed; the others conflict.
     */
    @Test
    public void concurrentCreatesSucceedOnce() throws Exception {
      try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
        Callable<Integer> create = () -> create("1").status();
        List<Future<Integer>> all =
            threads.invokeAll(IntStream.range(0, 16).mapToObj(i -> create).toList());
        List<Integer> statuses = all.stream().map(Future::resultNow).sorted().toList();
        assertEquals(statuses.getFirst(), 201);
        assertEquals(statuses.subList(1, 16), IntStream.range(1, 16).mapToObj(i -> 409).toList());
      }
    }

    /** An update or deletion with an old resource version must conflict and change nothing. */
    @Test
    public void staleUpdateConflicts() throws Exception {
      String version = create("1").body().at("/metadata/resourceVersion").asText();
      assertEquals(http.call("PUT", CONFIG_LOG + "/1", object("1", version, 1)).status(), 200);
      Http.Answer stale = http.call("PUT", CONFIG_LOG + "/1", object("1", version, 2));
      assertEquals(stale.status(), 409);
      assertEquals(stale.body().get("reason").asText(), "Conflict");
      assertEquals(http.call("GET", CONFIG_LOG + "/1", "").body().at("/spec/value").asInt(), 1);
      assertEquals(
          http.call("DELETE", CONFIG_LOG + "/1?resourceVersion=" + version, "").status(), 409);
    }

    /** A write whose answer is lost has taken effect; a write that is lost has not. */
    @Test
    public void lostAnswersAndLostWrites() throws Exception {
      platform.loseAnswers(1);
      assertTrue(http.isConnectionClosed("POST", CONFIG_LOG, object("1", "", 0)));
      assertEquals(http.call("GET", CONFIG_LOG + "/1", "").status(), 200);
      platform.loseWrites(1);
      assertTrue(http.isConnectionClosed("POST", CONFIG_LOG, object("2", "", 0)));
      assertEquals(http.call("GET", CONFIG_LOG + "/2", "").status(), 404);
      assertEquals(create("2").status(), 201);
    }

    /** A body larger than one megabyte is refused. */
    @Test
    public void oversizedBodyIsRefused() throws Exception {
      Http.Answer answer = http.call("POST", CONFIG_LOG, " ".repeat((1 << 20) + 1));
      assertEquals(answer.body().get("reason").asText(), "TooLarge");
    }
  }

  /** Lists and watches. */
  public static class Reads extends WithPlatform {
    /** Pages of a prefix are ordered by name and continue where the previous page ended. */
    @Test
    public void pagesFollowNameOrder() throws Exception {
      for (String name : List.of("b2", "a1", "b1", "b3", "c1")) {
        create(name);
      }
      JsonNode first = http.call("GET", CONFIG_LOG + "?prefix=b&limit=2", "").body();
      assertEquals(first.at("/items/0/metadata/name").asText(), "b1");
      String next = first.at("/metadata/continue").asText();
      JsonNode second =
          http.call("GET", CONFIG_LOG + "?prefix=b&limit=2&continue=" + next, "").body();
      assertEquals(second.get("items").size(), 1);
      assertEquals(second.at("/items/0/metadata/name").asText(), "b3");
      assertEquals(second.at("/metadata/continue").asText(), "");
    }

    /** A watch sends the changes of its collection after its version in order, then a bookmark. */
    @Test
    public void watch() throws Exception {
      String version = create("1").body().at("/metadata/resourceVersion").asText();
      final Iterator<String> lines =
          http.lines(
                  "GET", CONFIG_LOG + "?watch=true&timeoutSeconds=2&resourceVersion=" + version, "")
              .iterator();
      http.call("POST", "/apis/larkkeel.org/v1/leases", object("other", "", 0));
      create("2");
      http.call("DELETE", CONFIG_LOG + "/1", "");
      assertEvent(lines.next(), "ADDED", "2");
      assertEvent(lines.next(), "DELETED", "1");
      assertEvent(lines.next(), "BOOKMARK", "");
      assertFalse(lines.hasNext());
      assertEquals(platform.calls().get(PlatformVerb.WATCH), Long.valueOf(1));
    }

    /** A watch from a version that is no longer in the history is refused with 410. */
    @Test
    public void watchFromDroppedVersionIsRefused() throws Exception {
      for (int i = 0; i < 30; i++) {
        create("entry-" + i);
      }
      assertEquals(
          http.call("GET", CONFIG_LOG + "?watch=true&resourceVersion=1", "").status(), 410);
    }

    /** Hosts are listed with their phase and cannot be written by callers. */
    @Test
    public void hostsAreReadOnly() throws Exception {
      platform.putHost("host-1", "127.0.0.1:9000", "manizales", HostPhase.LEAVING);
      JsonNode host = http.call("GET", "/apis/larkkeel.org/v1/hosts/host-1", "").body();
      assertEquals(host.at("/spec/phase").asText(), "leaving");
      assertEquals(http.call("DELETE", "/apis/larkkeel.org/v1/hosts/host-1", "").status(), 403);
    }

    private static void assertEvent(String line, String type, String name) throws Exception {
      JsonNode event = Http.MAPPER.readTree(line);
      assertEquals(event.get("type").asText(), type);
      assertEquals(event.at("/object/metadata/name").asText(), name);
    }
  }

  /** Outages and limits. */
  public static class Faults extends WithPlatform {
    /** An outage started through the control endpoint refuses calls and closes watches. */
    @Test
    public void outage() throws Exception {
      final var lines =
          http.lines("GET", CONFIG_LOG + "?watch=true&timeoutSeconds=15", "").iterator();
      http.call("POST", "/control/outage?on=1", "");
      assertEquals(create("1").status(), 503);
      expectThrows(UncheckedIOException.class, lines::next);
      http.call("POST", "/control/outage?on=0", "");
      assertEquals(create("1").status(), 201);
      assertEquals(http.call("GET", "/control/calls", "").body().get("CREATE").asInt(), 2);
    }

    /** Calls above the rate limit are refused with 429 and {@code Retry-After}. */
    @Test
    public void rateLimitSetsRetryAfter() throws Exception {
      platform.limit(0.01);
      assertEquals(create("1").status(), 201);
      Http.Answer refused = create("2");
      assertEquals(refused.status(), 429);
      assertTrue(refused.response().headers().firstValue("Retry-After").isPresent());
    }

    /** Weight pulls above the concurrency limit are refused with 429. */
    @Test
    public void concurrentPullsAreLimited() throws Exception {
      for (int status : new int[] {202, 202, 429}) {
        assertEquals(
            http.call("POST", "/weights/v1/m/1/pulls", "{\"upstream\":\"u\"}").status(), status);
      }
    }
  }
}
