/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.larkkeel.effect.Effect;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.event.CancelOutcome;
import org.larkkeel.event.Event;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;
import org.larkkeel.http.Json;
import org.larkkeel.http.Node;
import org.larkkeel.http.RawCaller;
import org.larkkeel.http.ScriptedServer;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests effects on requests, from the caller's connection to those of engines and services. */
public class EffectExecutorTest {
  private static final String STREAMED =
      "{\"model\":\"m\",\"prompt\":\"abcdefgh\",\"max_tokens\":3,\"stream\":true,\"seed\":5}";
  private static final String SINGLE_BODY =
      "{\"model\":\"m\",\"prompt\":\"abcdefgh\",\"max_tokens\":3}";
  private static final AttemptId PREFILL = new AttemptId(1);
  private static final AttemptId FIRST = new AttemptId(2);
  private static final AttemptId SECOND = new AttemptId(3);

  /** Starts a new node for each test. */
  public abstract static class WithNode {
    /** The node. */
    protected Node node;

    /** Starts the node. */
    @BeforeMethod
    public void start() {
      node = new Node();
    }

    /** Stops the node. */
    @AfterMethod(alwaysRun = true)
    public void stop() {
      node.close();
    }

    UpstreamName engine(String name, ScriptedServer server) {
      return node.upstream(name, server.address());
    }
  }

  /** Completions, from the arrival to the end of the answer. */
  public static class Completions extends WithNode {
    /**
     * Prefill, transfer and decode requests carry the fields that the protocol requires, and the
     * tokens are streamed.
     */
    @Test
    public void streamsThroughBothPools() throws Exception {
      try (ScriptedServer prefill =
              new ScriptedServer(
                  (q, a) ->
                      a.answer(
                          200,
                          "{\"id\":\"x\",\"usage\":{\"prompt_tokens\":2,"
                              + "\"prompt_tokens_details\":{\"cached_tokens\":1}},"
                              + "\"kv_transfer_params\":{\"remote_engine_id\":\"e1\","
                              + "\"kv_bytes\":99}}"));
          ScriptedServer decode =
              new ScriptedServer(
                  (q, a) -> {
                    if (q.target().equals("/v1/kv/imports")) {
                      a.answer(200, "{\"request_id\":\"n1/7/2\",\"kv_bytes\":99}");
                    } else {
                      a.startEvents().token(0, "a").token(1, "b").token(2, "c").done();
                    }
                  });
          RawCaller caller = node.call()) {
        caller.send("POST", "/v1/completions", "X-Request-Id: mine\r\n", STREAMED);
        RequestId id = node.arrival();
        UpstreamName from = engine("p", prefill);

        node.prefill(PREFILL, id, from);
        Event.PrefillDone prefilled = node.await(Event.PrefillDone.class);
        assertEquals(prefilled.kvBytes(), 99);
        assertEquals(prefilled.cachedTokens(), 1);
        ScriptedServer.Request sent = prefill.next();
        assertEquals(sent.header("x-request-id"), "n1/7/1");
        JsonNode body = Json.parse(sent.body().getBytes(StandardCharsets.UTF_8));
        assertEquals(body.path("priority").asInt(), 3);
        assertEquals(body.path("seed").asInt(), 5, "fields of the caller are passed on");
        assertTrue(body.path("kv_transfer_params").path("do_remote_decode").asBoolean());

        UpstreamName to = engine("d", decode);
        node.transfer(FIRST, id, PREFILL, from, to);
        node.await(Event.TransferDone.class);
        assertTrue(decode.next().body().contains("\"remote_engine_id\":\"e1\""));

        node.decode(FIRST, id, to, 0);
        node.await(Event.FirstToken.class);
        assertEquals(node.await(Event.DecodeDone.class).tokens(), 3);
        assertEquals(decode.next().header("x-request-id"), "n1/7/2");

        node.execute(new Effect.Complete(id, FIRST));
        RawCaller.Answer answer = caller.answer();
        assertEquals(answer.status(), 200);
        assertEquals(answer.header("x-request-id"), "mine");
        assertEquals(Answers.texts(answer.body()), "abc");
        assertTrue(answer.body().endsWith("data: [DONE]\n\n"));
      }
    }

    /**
     * After a lost connection, another engine continues the stream without a duplicate or missing
     * token.
     */
    @Test
    public void resumesWithoutDuplicateOrLostToken() throws Exception {
      try (ScriptedServer crashing =
              new ScriptedServer(
                  (q, a) -> a.startEvents().token(0, "a").token(1, "b").socket().close());
          ScriptedServer healthy =
              new ScriptedServer((q, a) -> a.startEvents().token(1, "b").token(2, "c").done());
          RawCaller caller = node.call()) {
        caller.send("POST", "/v1/chat/completions", "", Answers.chat(true));
        RequestId id = node.arrival();
        node.decode(FIRST, id, engine("d1", crashing), 0);
        node.await(Event.FirstToken.class);
        Event.AttemptFailed failed = node.await(Event.AttemptFailed.class);
        assertEquals(failed.cause(), FailureCause.CONNECTION_LOST);
        assertEquals(failed.exposure(), Exposure.MAY_HAVE_RUN);
        assertEquals(failed.tokens(), 2);

        node.decode(SECOND, id, engine("d2", healthy), 2);
        node.await(Event.FirstToken.class);
        assertEquals(node.await(Event.DecodeDone.class).tokens(), 3);
        node.execute(new Effect.Complete(id, SECOND));
        assertEquals(Answers.texts(caller.answer().body()), "abc");
      }
    }

    /** Late tokens of an earlier attempt are dropped. */
    @Test
    public void ignoresLateTokensOfStaleAttempt() throws Exception {
      CountDownLatch late = new CountDownLatch(1);
      CountDownLatch staleIsDone = new CountDownLatch(1);
      try (ScriptedServer stale =
              new ScriptedServer(
                  (q, a) -> {
                    a.startEvents().token(0, "a");
                    late.await();
                    a.token(1, "X").token(2, "Y").done();
                  });
          ScriptedServer current =
              new ScriptedServer(
                  (q, a) -> {
                    staleIsDone.await();
                    a.startEvents().token(1, "b").token(2, "c").done();
                  });
          RawCaller caller = node.call()) {
        caller.send("POST", "/v1/completions", "", SINGLE_BODY);
        RequestId id = node.arrival();
        node.decode(FIRST, id, engine("d1", stale), 0);
        node.await(Event.FirstToken.class);
        node.decode(SECOND, id, engine("d2", current), 1);
        late.countDown();
        assertEquals(node.await(Event.OfAttempt.class).attempt(), FIRST);
        staleIsDone.countDown();
        assertEquals(node.await(Event.FirstToken.class).attempt(), SECOND);
        assertEquals(node.await(Event.DecodeDone.class).tokens(), 3);
        node.execute(new Effect.Complete(id, SECOND));
        assertEquals(Answers.texts(caller.answer().body()), "abc");
      }
    }

    /**
     * A token that skips an index fails the attempt, so that no text is missing in the caller's
     * answer.
     */
    @Test
    public void failsAttemptOnGap() throws Exception {
      try (ScriptedServer gap =
              new ScriptedServer((q, a) -> a.startEvents().token(0, "a").token(2, "c").done());
          RawCaller caller = node.call()) {
        caller.send("POST", "/v1/completions", "", STREAMED);
        RequestId id = node.arrival();
        node.decode(FIRST, id, engine("d", gap), 0);
        node.await(Event.FirstToken.class);
        assertEquals(node.await(Event.AttemptFailed.class).cause(), FailureCause.BAD_ANSWER);
        node.execute(new Effect.Refuse(id, ErrorKind.UPSTREAM_FAILED, 0, "It failed."));
        String body = caller.answer().body();
        assertEquals(Answers.texts(body), "a");
        assertTrue(body.contains("event: error\ndata: {\"type\":"), body);
        assertTrue(body.contains("\"execution\":\"may-have-run\""), body);
        assertFalse(body.contains("[DONE]"), body);
      }
    }

    /** A cancelled attempt ends once, and the engine receives the cancel. */
    @Test
    public void cancels() throws Exception {
      CountDownLatch never = new CountDownLatch(1);
      try (ScriptedServer engine =
              new ScriptedServer(
                  (q, a) -> {
                    if (q.method().equals("DELETE")) {
                      a.answer(200, "{\"state\":\"cancelled\"}");
                    } else {
                      never.await();
                    }
                  });
          RawCaller caller = node.call()) {
        caller.send("POST", "/v1/completions", "", SINGLE_BODY);
        RequestId id = node.arrival();
        UpstreamName at = engine("p", engine);
        node.prefill(PREFILL, id, at);
        engine.next();
        node.execute(new Effect.Cancel(PREFILL, id, at));
        Event.AttemptFailed failed = node.await(Event.AttemptFailed.class);
        assertEquals(failed.exposure(), Exposure.MAY_HAVE_RUN);
        assertEquals(node.await(Event.CancelSettled.class).outcome(), CancelOutcome.ACKNOWLEDGED);
        assertEquals(engine.next().target(), "/v1/requests/n1%2F7%2F1");
        assertEquals(node.pendingEvents(), 0);
      }
      never.countDown();
      assertTrue(never.await(0, TimeUnit.SECONDS));
    }
  }

  /** Plain calls. */
  public static class PlainCalls extends WithNode {
    /** Method, path, query, headers and body are forwarded; the bearer token is not. */
    @Test
    public void passesCallThrough() throws Exception {
      try (ScriptedServer service =
              new ScriptedServer(
                  (q, a) ->
                      a.raw("HTTP/1.1 201 Created\r\nX-Kind: k\r\nContent-Length: 2\r\n\r\nok"));
          RawCaller caller = node.call()) {
        caller.send(
            "POST", "/orders/1?x=%20y", "Authorization: Bearer s3cret\r\nX-A: b\r\n", "body");
        Event.RequestArrived arrived = node.await(Event.RequestArrived.class);
        assertEquals(arrived.call().workspace().value(), "closed");
        RequestId id = arrived.call().id();
        node.plain(FIRST, id, engine("s", service));
        node.await(Event.PlainDone.class);
        ScriptedServer.Request sent = service.next();
        assertEquals(sent.method(), "POST");
        assertEquals(sent.target(), "/orders/1?x=%20y");
        assertEquals(sent.body(), "body");
        assertEquals(sent.header("x-a"), "b");
        assertEquals(sent.header("authorization"), null);
        assertEquals(sent.header("x-request-id"), "n1/7/2");

        RecordedAnswer kept = node.table.answer(id, FIRST).orElseThrow();
        assertEquals(RecordedAnswer.fromBytes(kept.toBytes()).body(), kept.body());
        node.execute(new Effect.Complete(id, FIRST));
        RawCaller.Answer answer = caller.answer();
        assertEquals(answer.status(), 201);
        assertEquals(answer.header("x-kind"), "k");
        assertEquals(answer.body(), "ok");
        assertEquals(node.table.size(), 0);
      }
    }

    /** Answers without a body end, and their connection is reused. */
    @Test
    public void passesBodylessAnswers() throws Exception {
      try (ScriptedServer service =
              new ScriptedServer(
                  (q, a) -> {
                    if (q.method().equals("HEAD")) {
                      a.raw("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n");
                    } else {
                      a.raw("HTTP/1.1 " + q.target().substring(1) + " X\r\n\r\n");
                    }
                  });
          RawCaller caller = node.call()) {
        UpstreamName at = engine("s", service);
        int attempt = 0;
        for (String request : ImmutableList.of("HEAD /a", "DELETE /204", "GET /304", "HEAD /b")) {
          String[] parts = request.split(" ", 2);
          caller.send(parts[0], parts[1], "", "");
          RequestId id = node.arrival();
          AttemptId next = new AttemptId(++attempt);
          node.plain(next, id, at);
          node.await(Event.PlainDone.class);
          node.execute(new Effect.Complete(id, next));
          String status = parts[1].length() == 4 ? parts[1].substring(1) : "200";
          assertEquals(Integer.toString(caller.head().status()), status);
        }
        assertEquals(node.client.openConnections(new UpstreamAddress(service.address())), 1);
      }
    }

    @Test
    public void passesAnswersThatEndWithTheirConnection() throws Exception {
      try (ScriptedServer service =
              new ScriptedServer((q, a) -> a.raw("HTTP/1.1 200 OK\r\n\r\nok").socket().close());
          RawCaller caller = node.call()) {
        caller.send("GET", "/orders", "", "");
        RequestId id = node.arrival();
        node.plain(FIRST, id, engine("s", service));
        node.await(Event.PlainDone.class);
        node.execute(new Effect.Complete(id, FIRST));
        assertEquals(caller.answer().body(), "ok");
      }
    }

    /** Guards against a part of an answer that looks complete after its service was killed. */
    @Test
    public void losesAnswersThatEndWithTheirService() throws Exception {
      AtomicReference<ScriptedServer> self = new AtomicReference<>();
      CountDownLatch known = new CountDownLatch(1);
      try (ScriptedServer service =
              new ScriptedServer(
                  (q, a) -> {
                    known.await();
                    a.raw("HTTP/1.1 200 OK\r\n\r\npart");
                    Thread.sleep(100);
                    self.get().close();
                  });
          RawCaller caller = node.call()) {
        self.set(service);
        known.countDown();
        caller.send("GET", "/orders", "", "");
        node.plain(FIRST, node.arrival(), engine("s", service));
        Event.AttemptFailed failed = node.await(Event.AttemptFailed.class);
        assertEquals(failed.cause(), FailureCause.CONNECTION_LOST);
        assertEquals(failed.exposure(), Exposure.MAY_HAVE_RUN);
      }
    }

    /**
     * Guards against a part of an answer that looks complete because its killed service was probed
     * before the system had closed its listener.
     */
    @Test
    public void probesServicesOnlySomeTimeAfterTheirConnectionsEnd() throws Exception {
      try (ServerSocket service = new ServerSocket(0, 8, InetAddress.ofLiteral("127.0.0.1"));
          RawCaller caller = node.call()) {
        caller.send("GET", "/orders", "", "");
        InetSocketAddress address = (InetSocketAddress) service.getLocalSocketAddress();
        node.plain(FIRST, node.arrival(), node.upstream("s", address));
        long end = answerAndClose(service.accept());
        service.accept().close();
        long delay = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - end);
        assertTrue(delay >= 20, delay + " ms");
        node.await(Event.PlainDone.class);
      }
    }

    /** Returns the time right before the connection is closed. */
    private static long answerAndClose(Socket connection) throws IOException {
      try (connection) {
        BufferedReader in =
            new BufferedReader(
                new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
        while (!in.readLine().isEmpty()) {
          // Bytes that are left unread would reset the connection.
        }
        connection
            .getOutputStream()
            .write("HTTP/1.1 200 OK\r\n\r\nok".getBytes(StandardCharsets.US_ASCII));
        return System.nanoTime();
      }
    }

    /**
     * A service receives no cancel call, even if the request has ended before; its connection is
     * closed.
     */
    @Test
    public void cancelsByClosing() throws Exception {
      CountDownLatch never = new CountDownLatch(1);
      try (ScriptedServer service = new ScriptedServer((q, a) -> never.await());
          RawCaller caller = node.call()) {
        caller.send("GET", "/slow", "", "");
        RequestId id = node.arrival();
        UpstreamName at = engine("s", service);
        node.plain(FIRST, id, at);
        service.next();
        node.execute(new Effect.Refuse(id, ErrorKind.DEADLINE_EXCEEDED, 0, "Late."));
        assertEquals(caller.answer().status(), 504);
        node.execute(new Effect.Cancel(FIRST, id, at));
        for (int i = 0; i < 2; i++) {
          Event.OfAttempt outcome = node.await(Event.OfAttempt.class);
          assertEquals(outcome.attempt(), FIRST);
        }
        assertEquals(service.pendingRequests(), 0);
      }
      never.countDown();
    }

    /** A recorded answer is replayed. */
    @Test
    public void replays() throws Exception {
      try (RawCaller caller = node.call()) {
        caller.send("POST", "/orders", "Idempotency-Key: k1\r\n", "x");
        RequestId id = node.arrival();
        byte[] body = "again".getBytes(StandardCharsets.UTF_8);
        node.table.storeRecorded(id, new RecordedAnswer(200, ImmutableList.of(), body));
        node.execute(new Effect.Replay(id, FIRST));
        assertEquals(caller.answer().body(), "again");
      }
    }

    /** A recorded completion is replayed in the requested style, here as a stream. */
    @Test
    public void replaysStream() throws Exception {
      byte[] body =
          ("{\"choices\":[{\"message\":{\"role\":\"assistant\",\"content\":\"abc\"},"
                  + "\"finish_reason\":\"stop\"}]}")
              .getBytes(StandardCharsets.UTF_8);
      try (RawCaller caller = node.call()) {
        caller.send("POST", "/v1/chat/completions", "Idempotency-Key: k\r\n", Answers.chat(true));
        RequestId id = node.arrival();
        node.table.storeRecorded(id, new RecordedAnswer(200, ImmutableList.of(), body));
        node.execute(new Effect.Replay(id, FIRST));
        String answer = caller.answer().body();
        assertEquals(Answers.texts(answer), "abc");
        assertTrue(answer.contains("chat.completion.chunk"), answer);
        assertTrue(answer.endsWith("data: [DONE]\n\n"), answer);
      }
    }
  }

  /** Helpers that write requests and read answers. */
  private static final class Answers {
    private Answers() {}

    static String chat(boolean stream) {
      return "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}],\"stream\":"
          + stream
          + "}";
    }

    /** Returns the joined texts of all events, or the text of the single body. */
    static String texts(String body) throws Exception {
      StringBuilder all = new StringBuilder();
      for (String line : body.lines().toList()) {
        String json = line.startsWith("data: ") ? line.substring("data: ".length()) : line;
        if (json.startsWith("{")) {
          JsonNode choice = Json.parse(json.getBytes(StandardCharsets.UTF_8)).path("choices");
          all.append(choice.path(0).path("text").asText());
          all.append(choice.path(0).path("delta").path("content").asText());
        }
      }
      return all.toString();
    }
  }
}
