/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.larkkeel.call.Call;
import org.larkkeel.effect.Effect;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.Event;
import org.larkkeel.http.Json;
import org.larkkeel.http.Node;
import org.larkkeel.http.Problem;
import org.larkkeel.http.RawCaller;
import org.larkkeel.http.request.RecordedAnswer;
import org.larkkeel.http.request.RequestRecord;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.Closer;
import org.larkkeel.lib.RequestId;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the listener against correct, malformed, slow and departing callers on raw connections. */
public class CallerListenerTest {
  private static final String WORKSPACE = "Host: t\r\nX-Larkkeel-Workspace: open\r\n";
  private static final int MAX_BODY = 1_000;
  private static final int MAX_PENDING = 64 << 10;
  private static final int SHORT_MILLIS = 200;
  private static final int LONG_MILLIS = 60_000;

  /** Starts a new node for each test. */
  public abstract static class WithNode {
    /** The node. */
    protected Node node;

    /** Starts the node. */
    @BeforeMethod
    public void start() {
      node = new Node(this::settings);
    }

    /** Stops the node. */
    @AfterMethod(alwaysRun = true)
    public void stop() {
      node.close();
    }

    /** Returns the settings of the node, based on the defaults. */
    protected CallerSettings settings(CallerSettings defaults) {
      return defaults.withSizes(MAX_BODY, 3 * MAX_BODY, MAX_PENDING);
    }

    void answer(RequestId id, String body) {
      RequestRecord record = node.table.remove(id).orElseThrow();
      record.replay(
          new RecordedAnswer(200, ImmutableList.of(), body.getBytes(StandardCharsets.UTF_8)));
    }

    /** Asserts that the node still serves requests. */
    void assertServes() throws Exception {
      try (RawCaller caller = node.call()) {
        caller.send("GET", "/fine", "", "");
        answer(node.arrival(), "fine");
        assertEquals(caller.answer().body(), "fine");
      }
    }
  }

  /** A node that has no configuration yet. */
  public static class NotConfigured extends WithNode {
    /**
     * Callers are refused with a status that allows a retry. A 401 would tell valid callers that
     * their workspace is unknown.
     */
    @Test
    public void refusesAsNotReadyInsteadOfUnauthenticated() throws Exception {
      final Workspaces known = node.workspaces;
      node.workspaces = new Workspaces(ImmutableMap.of(), ImmutableSet.of());
      try (RawCaller caller = node.call()) {
        caller.send("GET", "/early", "", "");
        RawCaller.Answer answer = caller.answer();
        assertEquals(answer.status(), 503);
        assertTrue(answer.body().contains("not-ready"), answer.body());
        assertTrue(answer.body().contains("not-run"), answer.body());
      }
      node.workspaces = known;
      assertServes();
    }
  }

  /** Requests that are rejected. */
  public static class BadRequests extends WithNode {
    /** Bad requests, with the status, the slug, and a word that the detail must contain. */
    @DataProvider
    public Object[][] table() {
      String complete = "POST /v1/completions HTTP/1.1\r\n" + WORKSPACE;
      String chat = "POST /v1/chat/completions HTTP/1.1\r\n" + WORKSPACE;
      return new Object[][] {
        {with(complete, "{"), 400, "malformed-request", "not JSON"},
        {with(complete, ""), 400, "malformed-request", "JSON object"},
        {with(complete, "[1]"), 400, "malformed-request", "JSON object"},
        {with(complete, "{\"model\":\"m\"} x"), 400, "malformed-request", "not JSON"},
        {with(complete, "{\"prompt\":\"p\"}"), 400, "malformed-request", "model"},
        {with(complete, "{\"model\":\"m\"}"), 400, "malformed-request", "prompt"},
        {with(complete, "{\"model\":\"m\",\"prompt\":\"\"}"), 400, "malformed-request", "prompt"},
        {with(complete, body("\"max_tokens\":0")), 400, "malformed-request", "max_tokens is 0"},
        {with(complete, body("\"max_tokens\":1.5")), 400, "malformed-request", "max_tokens"},
        {with(complete, body("\"stream\":\"yes\"")), 400, "malformed-request", "stream"},
        {with(complete, body("\"n\":2")), 400, "malformed-request", "n is 2"},
        {
          with(complete, "{\"model\":\"m\",\"prompt\":\"\\ud800\"}"),
          400,
          "malformed-request",
          "surrogate"
        },
        {with(complete, "{\"model\":\"a b\",\"prompt\":\"p\"}"), 400, "malformed-request", "a b"},
        {with(chat, body("\"messages\":[]")), 400, "malformed-request", "messages"},
        {
          with(chat, body("\"messages\":[{\"role\":\"user\"}]")),
          400,
          "malformed-request",
          "messages[0].content"
        },
        {
          with(complete + "X-Larkkeel-Deadline-Millis: -5\r\n", body("\"n\":1")),
          400,
          "malformed-request",
          "Deadline"
        },
        {
          with("POST /x HTTP/1.1\r\n" + WORKSPACE + "Idempotency-Key: \r\n", ""),
          400,
          "malformed-request",
          "Idempotency-Key"
        },
        {with("GET /a/../b HTTP/1.1\r\n" + WORKSPACE, ""), 400, "malformed-request", "dot"},
        {with("GET /a/%2e%2e/b HTTP/1.1\r\n" + WORKSPACE, ""), 400, "malformed-request", "dot"},
        {
          with("GET /v1/completions HTTP/1.1\r\n" + WORKSPACE, ""),
          405,
          "method-not-allowed",
          "POST"
        },
        {with("TRACE /x HTTP/1.1\r\n" + WORKSPACE, ""), 405, "method-not-allowed", "TRACE"},
        {with("GET /x HTTP/1.1\r\nHost: t\r\n", ""), 401, "unauthenticated", "Bearer"},
        {
          with("GET /x HTTP/1.1\r\nHost: t\r\nX-Larkkeel-Workspace: closed\r\n", ""),
          401,
          "unauthenticated",
          "Bearer"
        },
        {
          with("GET /x HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer wrong\r\n", ""),
          401,
          "unauthenticated",
          "Bearer"
        },
        {
          with("POST /x HTTP/1.1\r\n" + WORKSPACE, "x".repeat(MAX_BODY + 1)),
          413,
          "body-too-large",
          "1000 bytes"
        },
        {
          with("POST /x HTTP/1.1\r\n" + WORKSPACE, "x".repeat(100 * MAX_BODY)),
          413,
          "body-too-large",
          "1000 bytes"
        },
        {
          "POST /x HTTP/1.1\r\n"
              + WORKSPACE
              + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n"
              + "x".repeat(2_000)
              + "\r\n0\r\n\r\n",
          413,
          "body-too-large",
          "1000 bytes"
        },
      };
    }

    /**
     * Each bad request gets a problem body, submits no event, and does not affect other requests.
     */
    @Test(dataProvider = "table")
    public void getProblemBody(String request, int status, String slug, String word)
        throws Exception {
      try (RawCaller caller = node.call()) {
        RawCaller.Answer answer = caller.raw(request).answer();
        assertEquals(answer.status(), status, answer.body());
        assertEquals(answer.header("content-type"), Problem.MEDIA_TYPE);
        JsonNode problem = Json.parse(answer.body().getBytes(StandardCharsets.UTF_8));
        assertEquals(problem.path("type").asText(), Problem.TYPE_PREFIX + slug);
        assertEquals(problem.path("execution").asText(), "not-run");
        assertEquals(problem.path("requestId").asText(), answer.header("x-request-id"));
        assertTrue(problem.path("detail").asText().contains(word), answer.body());
      }
      assertServes();
      assertEquals(node.pendingEvents(), 0);
      assertEquals(node.table.size(), 0);
    }

    /** Bytes that are not HTTP close only their own connection. */
    @Test
    public void closesOnMalformedHttp() throws Exception {
      try (RawCaller caller = node.call()) {
        caller.raw("\u0001\u0002 nonsense\r\n\r\n");
        RawCaller.Answer answer = caller.answer();
        assertEquals(answer.status(), 400);
        assertEquals(caller.read(), -1);
      }
      assertServes();
    }

    private static String body(String field) {
      return "{\"model\":\"m\",\"prompt\":\"p\"," + field + "}";
    }

    private static String with(String head, String body) {
      return head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }
  }

  /** Requests that are not sent completely. */
  public static class IncompleteRequests extends WithNode {
    @Override
    protected CallerSettings settings(CallerSettings defaults) {
      return super.settings(defaults)
          .withTimeouts(SHORT_MILLIS, SHORT_MILLIS, LONG_MILLIS, LONG_MILLIS);
    }

    /** A request whose body stops is refused after the timeout, and its connection is closed. */
    @Test
    public void stoppedBodyTimesOut() throws Exception {
      try (RawCaller caller = node.call()) {
        caller.raw("POST /x HTTP/1.1\r\n" + WORKSPACE + "Content-Length: 10\r\n\r\nabc");
        RawCaller.Answer answer = caller.answer();
        assertEquals(answer.status(), 408);
        assertTrue(answer.body().contains("request-timeout"), answer.body());
        assertEquals(caller.read(), -1);
      }
      assertServes();
    }

    /** A connection on which headers stop is closed after the timeout. */
    @Test
    public void stoppedHeadersTimeOut() throws Exception {
      try (RawCaller caller = node.call()) {
        caller.raw("POST /x HTTP/1.1\r\nHost: t\r\nX-Slow");
        assertEquals(caller.read(), -1);
      }
      assertServes();
    }

    /** A caller that disconnects within its body submits no event. */
    @Test
    public void disconnectInBodySubmitsNoEvent() throws Exception {
      try (RawCaller caller = node.call()) {
        caller.raw("POST /x HTTP/1.1\r\n" + WORKSPACE + "Content-Length: 10\r\n\r\nabc");
      }
      assertServes();
      assertEquals(node.pendingEvents(), 0);
    }

    /**
     * Incomplete bodies release the memory reserved for them; otherwise later requests would be
     * refused with 503.
     */
    @Test
    public void releasesMemory() throws Exception {
      for (int i = 0; i < 5; i++) {
        try (RawCaller caller = node.call()) {
          caller.raw("POST /x HTTP/1.1\r\n" + WORKSPACE + "Content-Length: 1000\r\n\r\nabc");
          assertEquals(
              caller.answer().status(),
              408,
              "the memory holds three bodies, so it was not released");
        }
      }
    }
  }

  /** The memory that is reserved for bodies without a declared length. */
  public static class BodiesWithoutLength extends WithNode {
    private static final int CALLERS = 8;

    private RawCaller callerWithChunk(Closer closer, int bytes) throws Exception {
      RawCaller caller = closer.add(node.call());
      caller.raw(
          "POST /x HTTP/1.1\r\n"
              + WORKSPACE
              + "Transfer-Encoding: chunked\r\n\r\n"
              + Integer.toHexString(bytes)
              + "\r\n"
              + "x".repeat(bytes)
              + "\r\n");
      return caller;
    }

    // Guards against requests without a body that are refused because each reserves the memory of
    // the largest body.
    @Test
    public void requestsWithoutBodyReserveNone() throws Exception {
      try (Closer closer = new Closer()) {
        for (int i = 0; i < CALLERS; i++) {
          closer.add(node.call()).send("GET", "/x", "", "");
          node.arrival();
        }
      }
    }

    // Guards against requests that are refused because a few chunked bodies reserve all memory
    // before they arrive.
    @Test
    public void chunkedBodiesReserveWhatHasArrived() throws Exception {
      try (Closer closer = new Closer()) {
        for (int i = 0; i < CALLERS; i++) {
          callerWithChunk(closer, 5);
        }
        closer.add(node.call()).send("POST", "/y", "", "body");
        node.arrival();
      }
    }

    // Guards against chunked bodies that together take more memory than all bodies may.
    @Test
    public void chunkedBodiesBeyondTheMemoryAreRefused() throws Exception {
      CountDownLatch refused = new CountDownLatch(CALLERS - 3);
      try (Closer closer = new Closer()) {
        for (int i = 0; i < CALLERS; i++) {
          RawCaller caller = callerWithChunk(closer, MAX_BODY);
          Thread.ofVirtual().start(() -> countIfRefused(caller, refused));
        }
        assertTrue(refused.await(Node.TIMEOUT_SECONDS, TimeUnit.SECONDS));
      }
    }

    private static void countIfRefused(RawCaller caller, CountDownLatch refused) {
      try {
        if (caller.answer().status() == 503) {
          refused.countDown();
        }
      } catch (IOException e) {
        // The test has closed the connection.
      }
    }
  }

  /** Callers that do not read. */
  public static class StalledCallers extends WithNode {
    @Override
    protected CallerSettings settings(CallerSettings defaults) {
      return super.settings(defaults)
          .withTimeouts(LONG_MILLIS, LONG_MILLIS, LONG_MILLIS, SHORT_MILLIS);
    }

    /**
     * The connections of callers that do not read their answers are closed, and the memory of their
     * bodies is released.
     */
    @Test
    public void connectionsAreClosedAndMemoryIsReleased() throws Exception {
      String body = "x".repeat(MAX_BODY);
      try (RawCaller one = node.call();
          RawCaller two = node.call();
          RawCaller three = node.call()) {
        for (RawCaller caller : ImmutableList.of(one, two, three)) {
          caller.send("POST", "/large", "", body);
          RequestRecord record = node.table.remove(node.arrival()).orElseThrow();
          record.replay(new RecordedAnswer(200, ImmutableList.of(), new byte[32 << 20]));
        }
        int status = 503;
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Node.TIMEOUT_SECONDS);
        while (status == 503 && System.nanoTime() < end) {
          try (RawCaller next = node.call()) {
            next.send("POST", "/next", "Idempotency-Key: \r\n", body);
            status = next.head().status();
          }
        }
        assertEquals(
            status, 400, "memory is released, so the request is parsed and found malformed");
      }
    }
  }

  /** Callers that disconnect. */
  public static class Disconnects extends WithNode {
    @Override
    protected CallerSettings settings(CallerSettings defaults) {
      return super.settings(defaults)
          .withTimeouts(LONG_MILLIS, LONG_MILLIS, LONG_MILLIS, LONG_MILLIS);
    }

    /** The ways to disconnect. */
    @DataProvider
    public Object[][] ways() {
      return new Object[][] {{Way.CLOSE}, {Way.HALF_CLOSE}, {Way.RESET}};
    }

    /** A way to disconnect. */
    public enum Way {
      /** An orderly close. */
      CLOSE,
      /** Only the sending side is closed. */
      HALF_CLOSE,
      /** The connection is reset. */
      RESET;

      void disconnect(RawCaller caller) throws Exception {
        if (this == HALF_CLOSE) {
          caller.socket().shutdownOutput();
          return;
        }
        if (this == RESET) {
          caller.socket().setSoLinger(true, 0);
        }
        caller.close();
      }
    }

    /**
     * A disconnect is reported once while the request is queued and nothing is written to the
     * caller.
     */
    @Test(dataProvider = "ways")
    public void isReportedWhileQueued(Way way) throws Exception {
      try (RawCaller caller = node.call()) {
        caller.send("POST", "/v1/completions", "", "{\"model\":\"m\",\"prompt\":\"p\"}");
        RequestId id = node.arrival();
        way.disconnect(caller);
        assertEquals(node.await(Event.CallerGone.class).request(), id);
        node.execute(new Effect.Forget(id));
        assertEquals(node.table.size(), 0);
      }
      assertServes();
      assertEquals(node.pendingEvents(), 0, "the disconnect is reported once");
    }

    /** Bytes of a pipelined request do not hide a disconnect. */
    @Test
    public void isReportedBehindPipelinedRequest() throws Exception {
      try (RawCaller caller = node.call()) {
        caller.send("GET", "/a", "", "").send("GET", "/b", "", "");
        RequestId id = node.arrival();
        caller.close();
        assertEquals(node.await(Event.CallerGone.class).request(), id);
      }
    }

    /** A disconnect after the answer is not reported. */
    @Test
    public void isNotReportedAfterAnswer() throws Exception {
      try (RawCaller caller = node.call()) {
        caller.send("GET", "/a", "", "");
        answer(node.arrival(), "A");
        assertEquals(caller.answer().body(), "A");
      }
      assertServes();
      assertEquals(node.pendingEvents(), 0);
    }

    /** The connection of a caller that reads nothing is closed when its buffer is full. */
    @Test
    public void connectionOfSlowReaderIsClosed() throws Exception {
      try (RawCaller caller = node.call()) {
        caller.send(
            "POST", "/v1/completions", "", "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true}");
        RequestId id = node.arrival();
        RequestRecord record = node.table.find(id).orElseThrow();
        byte[] part = new byte[4 << 10];
        int maxParts = (64 << 20) / part.length;
        for (int i = 0; i < maxParts && node.pendingEvents() == 0; i++) {
          record.channel().stream(part);
        }
        assertEquals(node.await(Event.CallerGone.class).request(), id);
      }
      assertServes();
    }
  }

  /** Requests that are served. */
  public static class ValidRequests extends WithNode {
    /** Pipelined requests are answered in order. */
    @Test
    public void answersPipelined() throws Exception {
      try (RawCaller caller = node.call()) {
        caller.send("GET", "/a", "", "").send("GET", "/b", "", "").send("GET", "/c", "", "");
        for (String name : ImmutableList.of("A", "B", "C")) {
          answer(node.arrival(), name);
          assertEquals(caller.answer().body(), name);
        }
      }
    }

    /** The messages of a chat become one prompt, and the headers become fields of the call. */
    @Test
    public void readsCall() throws Exception {
      try (RawCaller caller = node.call()) {
        caller.send(
            "POST",
            "/v1/chat/completions",
            "Idempotency-Key: k\r\nX-Larkkeel-Deadline-Millis: 1500\r\n",
            "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"abc\"}],"
                + "\"max_completion_tokens\":9}");
        Event.RequestArrived arrived = node.await(Event.RequestArrived.class);
        Call.Completion call = (Call.Completion) arrived.call();
        assertEquals(call.maxTokens(), 9);
        assertEquals(call.deadlineMillis(), 1500);
        assertEquals(call.runKey().orElseThrow().key().value(), "k");
        assertEquals(call.prompt(), ("user: abc\nassistant:".length() + 3) / 4);
      }
    }

    /** The digest of a run key depends on the body of the request. */
    @Test
    public void digestCoversBody() throws Exception {
      long[] digests = new long[3];
      String[] bodies = {"a", "b", "a"};
      for (int i = 0; i < bodies.length; i++) {
        try (RawCaller caller = node.call()) {
          caller.send("POST", "/x", "Idempotency-Key: k\r\n", bodies[i]);
          Event.RequestArrived arrived = node.await(Event.RequestArrived.class);
          digests[i] = arrived.call().runKey().orElseThrow().bodyDigest();
          answer(arrived.call().id(), "");
          assertNotNull(caller.answer());
        }
      }
      assertFalse(digests[0] == digests[1]);
      assertEquals(digests[2], digests[0]);
    }

    /**
     * A refusal carries {@code Retry-After}, rounded up, and a generated request id in place of an
     * invalid one.
     */
    @Test
    public void refuses() throws Exception {
      try (RawCaller caller = node.call()) {
        caller.send("GET", "/a", "X-Request-Id: has space\r\n", "");
        RequestId id = node.arrival();
        node.execute(new Effect.Refuse(id, ErrorKind.OVERLOADED, 1_200, "Too much."));
        RawCaller.Answer answer = caller.answer();
        assertEquals(answer.status(), 503);
        assertEquals(answer.header("retry-after"), "2");
        assertEquals(answer.header("x-request-id"), "n1/7/" + id);
        assertTrue(answer.body().contains("\"detail\":\"Too much.\""));
      }
    }

    /**
     * A second answer to a request is dropped and does not reach the next request on the
     * connection.
     */
    @Test
    public void dropsSecondAnswer() throws Exception {
      try (RawCaller caller = node.call()) {
        caller.send("GET", "/a", "", "");
        RequestId id = node.arrival();
        RequestRecord record = node.table.find(id).orElseThrow();
        answer(id, "A");
        record.refuse(Problem.of(ErrorKind.INTERNAL, "late", ""));
        node.execute(new Effect.Complete(id, new AttemptId(1)));
        assertEquals(caller.answer().body(), "A");
        caller.send("GET", "/b", "", "");
        answer(node.arrival(), "B");
        assertEquals(caller.answer().body(), "B");
      }
    }

    /** Health, readiness and metrics need no workspace. */
    @Test
    public void servesHealth() throws Exception {
      try (RawCaller caller = node.call()) {
        String get = " HTTP/1.1\r\nHost: t\r\n\r\n";
        assertEquals(caller.raw("GET /healthz" + get).answer().status(), 200);
        assertEquals(caller.raw("GET /readyz" + get).answer().status(), 200);
        assertEquals(caller.raw("GET /metrics" + get).answer().body(), "metric 1\n");
        node.ready.set(false);
        assertEquals(caller.raw("GET /readyz" + get).answer().status(), 503);
      }
    }

    /** A request with {@code Expect: 100-continue} gets status 100 before its body is sent. */
    @Test
    public void answersExpectContinue() throws Exception {
      try (RawCaller caller = node.call()) {
        caller.raw(
            "POST /x HTTP/1.1\r\n"
                + WORKSPACE
                + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
        assertEquals(caller.head().status(), 100);
        caller.raw("ab");
        answer(node.arrival(), "A");
        assertEquals(caller.answer().body(), "A");
      }
    }
  }
}
