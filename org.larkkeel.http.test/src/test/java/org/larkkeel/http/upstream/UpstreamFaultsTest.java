/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableListMultimap;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.Json;
import org.larkkeel.http.Node;
import org.larkkeel.http.ScriptedServer;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.relay.AnswerFraming;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Faults of upstreams, and the failure cause and exposure that the client derives from each. */
public class UpstreamFaultsTest {
  private static final long LONG_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(Node.TIMEOUT_SECONDS);
  private static final long SHORT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final int MAX_RESPONSE_BYTES = 2_000;
  private static final int MAX_CONNECTIONS = 3;

  /** Creates a new client for each test. */
  public abstract static class WithClient {
    /** The I/O threads of the client. */
    protected HttpWorker worker;

    /** The client under test. */
    protected UpstreamClient client;

    /** Starts the client. */
    @BeforeMethod
    public void start() {
      worker = new HttpWorker(2);
      client =
          new UpstreamClient(
              worker,
              new UpstreamClientSettings(MAX_CONNECTIONS, 1, 2, 60_000, MAX_RESPONSE_BYTES, 500),
              System::nanoTime);
    }

    /** Stops the client. */
    @AfterMethod(alwaysRun = true)
    public void stop() {
      client.close();
      worker.close();
    }

    CompletableFuture<Object> send(ScriptedServer server, HttpString method, long timeoutNanos) {
      return send(server.address(), method, timeoutNanos);
    }

    /** Sends a request; the future completes with the response or the failure. */
    CompletableFuture<Object> send(InetSocketAddress to, HttpString method, long timeoutNanos) {
      CompletableFuture<Object> outcome = new CompletableFuture<>();
      byte[] body = method.equals(Methods.POST) ? new byte[100] : new byte[0];
      client.send(
          new UpstreamAddress(to),
          new UpstreamRequest(method, "/x", ImmutableListMultimap.of(), body),
          ResponseTimeout.total(timeoutNanos),
          ConnectionUse.REQUEST,
          new ResponseCollector(MAX_RESPONSE_BYTES, outcome::complete, outcome::complete));
      return outcome;
    }

    /** Starts a decode; the future completes with the tokens or the failure. */
    CompletableFuture<Object> decode(ScriptedServer server, long idleTimeoutNanos) {
      CompletableFuture<Object> outcome = new CompletableFuture<>();
      List<Token> tokens = new ArrayList<>();
      new EngineClient(client)
          .decode(
              new UpstreamAddress(server.address()),
              new EngineRequestId(Node.ORIGIN, new AttemptId(1)),
              Json.object(),
              0,
              idleTimeoutNanos,
              new TokenHandler() {
                @Override
                public boolean onToken(Token token) {
                  return tokens.add(token);
                }

                @Override
                public void onDone() {
                  outcome.complete(tokens);
                }

                @Override
                public void onFailure(UpstreamFailure failure) {
                  outcome.complete(failure);
                }
              });
      return outcome;
    }

    static Object get(CompletableFuture<Object> outcome) throws Exception {
      return outcome.get(Node.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    static int status(CompletableFuture<Object> outcome) throws Exception {
      Object done = get(outcome);
      assertTrue(done instanceof ResponseCollector.Response, String.valueOf(done));
      return ((ResponseCollector.Response) done).status();
    }

    static void assertFailure(
        CompletableFuture<Object> outcome, FailureCause cause, Exposure exposure) throws Exception {
      Object done = get(outcome);
      assertTrue(done instanceof UpstreamFailure, String.valueOf(done));
      UpstreamFailure failure = (UpstreamFailure) done;
      assertEquals(failure.cause(), cause, failure.detail());
      assertEquals(failure.exposure(), exposure, failure.detail());
    }
  }

  /** Connections that fail or are closed. */
  public static class BrokenConnections extends WithClient {
    /** Returns the point at which the upstream closes the connection, and its script. */
    @DataProvider
    public Object[][] connectionLosses() {
      return new Object[][] {
        {"before the response", (ScriptedServer.Script) (q, a) -> a.socket().close()},
        {
          "in the status line",
          (ScriptedServer.Script) (q, a) -> a.raw("HTTP/1.1 2").socket().close()
        },
        {
          "between headers and body",
          (ScriptedServer.Script)
              (q, a) -> a.raw("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n").socket().close()
        },
        {
          "in the body",
          (ScriptedServer.Script)
              (q, a) -> a.raw("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab").socket().close()
        },
        {
          "in a chunk",
          (ScriptedServer.Script)
              (q, a) ->
                  a.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab")
                      .socket()
                      .close()
        },
        {
          "between chunks",
          (ScriptedServer.Script) (q, a) -> a.startEvents().chunk("ab").socket().close()
        },
        {
          "by a reset",
          (ScriptedServer.Script)
              (q, a) -> {
                a.raw("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab")
                    .socket()
                    .setSoLinger(true, 0);
                a.socket().close();
              }
        },
      };
    }

    /** If no complete response arrives after a byte was sent, the request may have run. */
    @Test(dataProvider = "connectionLosses")
    public void mayHaveRun(String name, ScriptedServer.Script script) throws Exception {
      try (ScriptedServer server = new ScriptedServer(script)) {
        CompletableFuture<Object> outcome = send(server, Methods.POST, LONG_TIMEOUT_NANOS);
        assertFailure(outcome, FailureCause.CONNECTION_LOST, Exposure.MAY_HAVE_RUN);
        server.next();
        assertEquals(
            server.pendingRequests(), 0, "request was sent again after connection loss " + name);
      }
    }

    /** A request whose connection is refused was not sent. */
    @Test
    public void refusedConnectIsNotSent() throws Exception {
      InetSocketAddress unusedAddress;
      try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.ofLiteral("127.0.0.1"))) {
        unusedAddress = (InetSocketAddress) closed.getLocalSocketAddress();
      }
      CompletableFuture<Object> sent = send(unusedAddress, Methods.POST, LONG_TIMEOUT_NANOS);
      assertFailure(sent, FailureCause.CONNECT_FAILED, Exposure.NOT_SENT);
      assertEquals(((UpstreamFailure) get(sent)).connect(), ConnectFailure.REFUSED);
      assertEquals(client.openConnections(new UpstreamAddress(unusedAddress)), 0);
    }

    /** A request on a pooled connection that closes during it counts as sent; it is not retried. */
    @Test
    public void pooledConnectionClosedUnderRequest() throws Exception {
      AtomicInteger requests = new AtomicInteger();
      try (ScriptedServer server =
          new ScriptedServer(
              (q, a) -> {
                if (requests.incrementAndGet() == 1) {
                  a.answer(200, "ok");
                } else {
                  a.socket().close();
                }
              })) {
        assertEquals(status(send(server, Methods.POST, LONG_TIMEOUT_NANOS)), 200);
        assertFailure(
            send(server, Methods.POST, LONG_TIMEOUT_NANOS),
            FailureCause.CONNECTION_LOST,
            Exposure.MAY_HAVE_RUN);
        assertEquals(requests.get(), 2, "requests received, without a retry");
      }
    }

    /** A connection that the upstream closes while idle is replaced without a failure. */
    @Test
    public void idleConnectionIsReplaced() throws Exception {
      CountDownLatch closed = new CountDownLatch(1);
      try (ScriptedServer server =
          new ScriptedServer(
              (q, a) -> {
                a.answer(200, "ok").socket().close();
                closed.countDown();
              })) {
        for (int i = 0; i < 20; i++) {
          Object done = get(send(server, Methods.POST, LONG_TIMEOUT_NANOS));
          // The client may learn of the close only after writing; then the request may have run.
          if (done instanceof UpstreamFailure failure) {
            assertEquals(failure.exposure(), Exposure.MAY_HAVE_RUN, failure.detail());
          }
          assertTrue(closed.await(Node.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
      }
    }

    /** A complete response counts, even if the upstream then closes its sending side. */
    @Test
    public void halfClosedAfterResponse() throws Exception {
      try (ScriptedServer server =
          new ScriptedServer((q, a) -> a.answer(200, "ok").socket().shutdownOutput())) {
        assertEquals(status(send(server, Methods.GET, LONG_TIMEOUT_NANOS)), 200);
      }
    }

    /** A stream without its end marker is a lost connection, even if its chunked body ends. */
    @Test
    public void streamWithoutEndMarker() throws Exception {
      try (ScriptedServer server =
          new ScriptedServer((q, a) -> a.startEvents().token(0, "a").raw("0\r\n\r\n"))) {
        assertFailure(
            decode(server, LONG_TIMEOUT_NANOS),
            FailureCause.CONNECTION_LOST,
            Exposure.MAY_HAVE_RUN);
      }
    }

    /** A stream is complete if its connection closes only after the end marker. */
    @Test
    public void streamBrokenAfterEndMarker() throws Exception {
      try (ScriptedServer server =
          new ScriptedServer(
              (q, a) -> a.startEvents().token(0, "a").chunk("data: [DONE]\n\n").socket().close())) {
        assertEquals(get(decode(server, LONG_TIMEOUT_NANOS)), List.of(new Token(0, "a", "")));
      }
    }
  }

  /** Handlers that throw while they take a part of the body. */
  public static class ThrowingHandlers extends WithClient {
    private static final String PART = "x".repeat(100);
    private static final int PARTS = 4;

    /** The framing of an answer, and the part at which the handler throws. */
    @DataProvider
    static Object[][] parts() {
      List<Object[]> all = new ArrayList<>();
      for (AnswerFraming framing : AnswerFraming.values()) {
        for (int i = 1; i <= PARTS; i++) {
          all.add(new Object[] {framing, i});
        }
      }
      return all.toArray(Object[][]::new);
    }

    private static void answer(AnswerFraming framing, ScriptedServer.Reply reply) throws Exception {
      boolean isChunked = framing == AnswerFraming.CHUNKS;
      reply.raw("HTTP/1.1 200 X\r\n");
      reply.raw(
          switch (framing) {
            case LENGTH -> "Content-Length: " + PARTS * PART.length() + "\r\n\r\n";
            case CHUNKS -> "Transfer-Encoding: chunked\r\n\r\n";
            case CONNECTION -> "\r\n";
          });
      for (int i = 0; i < PARTS; i++) {
        Thread.sleep(50);
        if (isChunked) {
          reply.chunk(PART);
        } else {
          reply.raw(PART);
        }
      }
      if (isChunked) {
        reply.raw("0\r\n\r\n");
      }
      if (framing == AnswerFraming.CONNECTION) {
        reply.socket().close();
      }
    }

    /** Guards against answers that look complete and lack a part for which no memory was left. */
    @Test(dataProvider = "parts")
    public void loseTheAnswer(AnswerFraming framing, int part) throws Exception {
      CompletableFuture<Object> outcome = new CompletableFuture<>();
      ResponseCollector collector =
          new ResponseCollector(MAX_RESPONSE_BYTES, outcome::complete, outcome::complete);
      ResponseHandler handler =
          new ResponseHandler() {
            private int count;

            @Override
            public boolean onHeaders(int status, HeaderMap headers) {
              return collector.onHeaders(status, headers);
            }

            @Override
            public boolean onBody(ByteBuffer bytes) {
              if (++count == part) {
                throw new OutOfMemoryError("for the test");
              }
              return collector.onBody(bytes);
            }

            @Override
            public void onEnd() {
              collector.onEnd();
            }

            @Override
            public void onFailure(UpstreamFailure failure) {
              collector.onFailure(failure);
            }
          };
      try (ScriptedServer server = new ScriptedServer((q, a) -> answer(framing, a))) {
        client.send(
            new UpstreamAddress(server.address()),
            new UpstreamRequest(Methods.GET, "/x", ImmutableListMultimap.of(), new byte[0]),
            ResponseTimeout.total(LONG_TIMEOUT_NANOS),
            ConnectionUse.REQUEST,
            handler);
        assertFailure(outcome, FailureCause.BAD_ANSWER, Exposure.MAY_HAVE_RUN);
      }
    }
  }

  /** Error responses and responses that cannot be used. */
  public static class BadResponses extends WithClient {
    /** Returns status and error code of a response, and the expected failure. */
    @DataProvider
    public Object[][] errorResponses() {
      return new Object[][] {
        {503, "no_slot", FailureCause.NO_SLOT, Exposure.REFUSED},
        {503, "busy", FailureCause.BUSY, Exposure.REFUSED},
        {503, "draining", FailureCause.DRAINING, Exposure.REFUSED},
        {503, "else", FailureCause.BAD_ANSWER, Exposure.MAY_HAVE_RUN},
        {410, "evicted", FailureCause.KV_EVICTED, Exposure.REFUSED},
        {500, "no_slot", FailureCause.BAD_ANSWER, Exposure.MAY_HAVE_RUN},
        {400, "bad", FailureCause.REJECTED, Exposure.MAY_HAVE_RUN},
      };
    }

    /** Only documented refusals are known not to have run. */
    @Test(dataProvider = "errorResponses")
    public void engineErrorMapsToFailure(
        int status, String code, FailureCause cause, Exposure exposure) throws Exception {
      try (ScriptedServer server =
          new ScriptedServer(
              (q, a) -> a.answer(status, "{\"error\":{\"code\":\"" + code + "\"}}"))) {
        assertFailure(decode(server, LONG_TIMEOUT_NANOS), cause, exposure);
      }
    }

    /** An event that cannot be parsed, or an oversized event or response, is a bad answer. */
    @Test
    public void unreadableOrOversizedResponse() throws Exception {
      try (ScriptedServer text =
              new ScriptedServer((q, a) -> a.startEvents().chunk("data: {\n\n").done());
          ScriptedServer endless =
              new ScriptedServer((q, a) -> a.startEvents().chunk("data: " + "x".repeat(600)));
          ScriptedServer large =
              new ScriptedServer((q, a) -> a.answer(200, "x".repeat(MAX_RESPONSE_BYTES + 1)))) {
        FailureCause bad = FailureCause.BAD_ANSWER;
        assertFailure(decode(text, LONG_TIMEOUT_NANOS), bad, Exposure.MAY_HAVE_RUN);
        assertFailure(decode(endless, LONG_TIMEOUT_NANOS), bad, Exposure.MAY_HAVE_RUN);
        assertFailure(send(large, Methods.GET, LONG_TIMEOUT_NANOS), bad, Exposure.MAY_HAVE_RUN);
      }
    }
  }

  /** Upstreams that do not respond, and requests that wait for a connection. */
  public static class TimeoutsAndQueueing extends WithClient {
    /** A request without a response within the timeout may have run; it is abandoned. */
    @Test
    public void timesOut() throws Exception {
      CountDownLatch never = new CountDownLatch(1);
      try (ScriptedServer server = new ScriptedServer((q, a) -> never.await())) {
        assertFailure(
            send(server, Methods.POST, SHORT_TIMEOUT_NANOS),
            FailureCause.TIMED_OUT,
            Exposure.MAY_HAVE_RUN);
        server.next();
      }
      never.countDown();
    }

    /** A stream that sends no more data times out, even after it has sent tokens. */
    @Test
    public void idleStreamTimesOut() throws Exception {
      CountDownLatch never = new CountDownLatch(1);
      try (ScriptedServer server =
          new ScriptedServer(
              (q, a) -> {
                a.startEvents().token(0, "a");
                never.await();
              })) {
        assertFailure(
            decode(server, SHORT_TIMEOUT_NANOS), FailureCause.TIMED_OUT, Exposure.MAY_HAVE_RUN);
      }
      never.countDown();
    }

    /**
     * Connections are limited, queued requests are sent in order, and a full queue refuses more.
     */
    @Test
    public void capsConnections() throws Exception {
      Semaphore allowedResponses = new Semaphore(0);
      try (ScriptedServer server =
          new ScriptedServer(
              (q, a) -> {
                allowedResponses.acquire();
                a.answer(200, "ok");
              })) {
        List<CompletableFuture<Object>> sent = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS + 2; i++) {
          sent.add(send(server, Methods.POST, LONG_TIMEOUT_NANOS));
        }
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
          server.next();
        }
        assertFailure(
            send(server, Methods.POST, LONG_TIMEOUT_NANOS),
            FailureCause.CONNECT_FAILED,
            Exposure.NOT_SENT);
        assertEquals(
            client.openConnections(new UpstreamAddress(server.address())), MAX_CONNECTIONS);
        assertEquals(server.pendingRequests(), 0);
        allowedResponses.release(sent.size());
        for (CompletableFuture<Object> outcome : sent) {
          assertEquals(status(outcome), 200);
        }
      }
    }

    /** A request aborted between getting its connection and using it is never sent. */
    @Test
    public void abortedBeforeSend() throws Exception {
      try (ScriptedServer server = new ScriptedServer((q, a) -> a.answer(200, "ok"));
          HttpWorker oneThread = new HttpWorker(1);
          UpstreamClient single =
              new UpstreamClient(oneThread, UpstreamClientSettings.DEFAULT, System::nanoTime)) {
        UpstreamAddress to = new UpstreamAddress(server.address());
        CompletableFuture<Object> warm = new CompletableFuture<>();
        start(single, to, warm);
        assertEquals(status(warm), 200);
        CompletableFuture<Object> outcome = new CompletableFuture<>();
        // On the I/O thread, the pool supplies the connection at once; a later task uses it.
        oneThread.worker().getIoThread().execute(() -> start(single, to, outcome).abort());
        assertFailure(outcome, FailureCause.CONNECT_FAILED, Exposure.NOT_SENT);
        CompletableFuture<Object> next = new CompletableFuture<>();
        start(single, to, next);
        assertEquals(status(next), 200);
        server.next();
        server.next();
        assertEquals(server.pendingRequests(), 0);
      }
    }

    private static InFlightRequest start(
        UpstreamClient client, UpstreamAddress to, CompletableFuture<Object> outcome) {
      return client.send(
          to,
          new UpstreamRequest(Methods.POST, "/x", ImmutableListMultimap.of(), new byte[1]),
          ResponseTimeout.total(LONG_TIMEOUT_NANOS),
          ConnectionUse.REQUEST,
          new ResponseCollector(MAX_RESPONSE_BYTES, outcome::complete, outcome::complete));
    }

    /** A request that times out while it waits for a connection is never sent. */
    @Test
    public void timesOutBeforeSend() throws Exception {
      Semaphore allowedResponses = new Semaphore(0);
      try (ScriptedServer server =
          new ScriptedServer(
              (q, a) -> {
                allowedResponses.acquire();
                a.answer(200, "ok");
              })) {
        List<CompletableFuture<Object>> sent = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
          sent.add(send(server, Methods.POST, LONG_TIMEOUT_NANOS));
          server.next();
        }
        CompletableFuture<Object> waiting = send(server, Methods.POST, SHORT_TIMEOUT_NANOS);
        assertFailure(waiting, FailureCause.CONNECT_FAILED, Exposure.NOT_SENT);
        assertEquals(((UpstreamFailure) get(waiting)).connect(), ConnectFailure.NONE);
        allowedResponses.release(MAX_CONNECTIONS);
        for (CompletableFuture<Object> outcome : sent) {
          assertEquals(status(outcome), 200);
        }
        assertEquals(server.pendingRequests(), 0);
      }
    }
  }
}
