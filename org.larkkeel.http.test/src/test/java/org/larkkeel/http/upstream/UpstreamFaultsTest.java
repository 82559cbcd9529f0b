/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableListMultimap;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
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
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What upstreams do to requests, and what may be concluded from it. */
public class UpstreamFaultsTest {
  private static final long LONG = TimeUnit.SECONDS.toNanos(Node.PATIENCE_SECONDS);
  private static final long SHORT = TimeUnit.MILLISECONDS.toNanos(100);
  private static final int MAX_ANSWER = 2_000;
  private static final int MAX_CONNECTIONS = 3;

  /** A client that is made anew for each test. */
  public abstract static class WithClient {
    /** The threads. */
    protected HttpWorker worker;

    /** The client. */
    protected UpstreamClient client;

    /** Starts the client. */
    @BeforeMethod
    public void start() {
      worker = new HttpWorker(2);
      client =
          new UpstreamClient(
              worker,
              new UpstreamClientSettings(MAX_CONNECTIONS, 1, 2, 60_000, MAX_ANSWER, 500),
              System::nanoTime);
    }

    /** Stops the client. */
    @AfterMethod(alwaysRun = true)
    public void stop() {
      client.close();
      worker.close();
    }

    CompletableFuture<Object> send(ScriptedServer server, HttpString method, long timeout) {
      return send(server.address(), method, timeout);
    }

    /** Sends a request; the future has the answer or the failure. */
    CompletableFuture<Object> send(InetSocketAddress to, HttpString method, long timeout) {
      CompletableFuture<Object> outcome = new CompletableFuture<>();
      byte[] body = method.equals(Methods.POST) ? new byte[100] : new byte[0];
      client.send(
          new UpstreamAddress(to),
          new UpstreamRequest(method, "/x", ImmutableListMultimap.of(), body),
          AnswerTimeout.whole(timeout),
          ConnectionUse.REQUEST,
          new WholeAnswer(MAX_ANSWER, outcome::complete, outcome::complete));
      return outcome;
    }

    /** Starts a decode; the future has the tokens or the failure. */
    CompletableFuture<Object> decode(ScriptedServer server, long silence) {
      CompletableFuture<Object> outcome = new CompletableFuture<>();
      List<Token> tokens = new ArrayList<>();
      new EngineClient(client)
          .decode(
              new UpstreamAddress(server.address()),
              new EngineRequestId(Node.ORIGIN, new AttemptId(1)),
              Json.object(),
              0,
              silence,
              new TokenStream() {
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
      return outcome.get(Node.PATIENCE_SECONDS, TimeUnit.SECONDS);
    }

    static int status(CompletableFuture<Object> outcome) throws Exception {
      Object done = get(outcome);
      assertTrue(done instanceof WholeAnswer.Answer, String.valueOf(done));
      return ((WholeAnswer.Answer) done).status();
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

  /** Connections that break. */
  public static class BrokenConnections extends WithClient {
    /** Scripts of an upstream that dies, and what they are. */
    @DataProvider
    public Object[][] deaths() {
      return new Object[][] {
        {"before the answer", (ScriptedServer.Script) (q, a) -> a.socket().close()},
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

    /** After a byte was sent, a lost answer means that the request may have run. */
    @Test(dataProvider = "deaths")
    public void mayHaveRun(String name, ScriptedServer.Script script) throws Exception {
      try (ScriptedServer server = new ScriptedServer(script)) {
        CompletableFuture<Object> outcome = send(server, Methods.POST, LONG);
        assertFailure(outcome, FailureCause.CONNECTION_LOST, Exposure.MAY_HAVE_RUN);
        server.next();
        assertEquals(server.waitingRequests(), 0, "sent once: " + name);
      }
    }

    /** No connection, no run. */
    @Test
    public void refusedConnectIsNotSent() throws Exception {
      InetSocketAddress nobody;
      try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.ofLiteral("127.0.0.1"))) {
        nobody = (InetSocketAddress) closed.getLocalSocketAddress();
      }
      assertFailure(
          send(nobody, Methods.POST, LONG), FailureCause.CONNECT_FAILED, Exposure.NOT_SENT);
      assertEquals(client.openConnections(new UpstreamAddress(nobody)), 0);
    }

    /** A pooled connection that closes under a request counts as sent, and nothing is repeated. */
    @Test
    public void pooledConnectionClosedUnderRequest() throws Exception {
      AtomicInteger requests = new AtomicInteger();
      try (ScriptedServer server =
          new ScriptedServer(
              (q, a) -> {
                if (requests.incrementAndGet() == 1) {
                  a.whole(200, "ok");
                } else {
                  a.socket().close();
                }
              })) {
        assertEquals(status(send(server, Methods.POST, LONG)), 200);
        assertFailure(
            send(server, Methods.POST, LONG), FailureCause.CONNECTION_LOST, Exposure.MAY_HAVE_RUN);
        assertEquals(requests.get(), 2, "never sent again");
      }
    }

    /** A connection that the upstream closes while idle is replaced without a failure. */
    @Test
    public void idleConnectionClosed() throws Exception {
      CountDownLatch closed = new CountDownLatch(1);
      try (ScriptedServer server =
          new ScriptedServer(
              (q, a) -> {
                a.whole(200, "ok").socket().close();
                closed.countDown();
              })) {
        for (int i = 0; i < 20; i++) {
          Object done = get(send(server, Methods.POST, LONG));
          // The close may overtake the pool, but then nothing was written or it may have run.
          if (done instanceof UpstreamFailure failure) {
            assertEquals(failure.exposure(), Exposure.MAY_HAVE_RUN, failure.detail());
          }
          assertTrue(closed.await(Node.PATIENCE_SECONDS, TimeUnit.SECONDS));
        }
      }
    }

    /** An upstream that closes its sending side after a whole answer has answered. */
    @Test
    public void halfClosedAfterAnswer() throws Exception {
      try (ScriptedServer server =
          new ScriptedServer((q, a) -> a.whole(200, "ok").socket().shutdownOutput())) {
        assertEquals(status(send(server, Methods.GET, LONG)), 200);
      }
    }

    /** A stream that ends without its end marker is lost, however orderly it ends. */
    @Test
    public void streamWithoutEnd() throws Exception {
      try (ScriptedServer server =
          new ScriptedServer((q, a) -> a.startEvents().token(0, "a").raw("0\r\n\r\n"))) {
        assertFailure(decode(server, LONG), FailureCause.CONNECTION_LOST, Exposure.MAY_HAVE_RUN);
      }
    }

    /** A stream whose connection breaks after its end marker is whole. */
    @Test
    public void streamBrokenAfterEnd() throws Exception {
      try (ScriptedServer server =
          new ScriptedServer(
              (q, a) -> a.startEvents().token(0, "a").chunk("data: [DONE]\n\n").socket().close())) {
        assertEquals(get(decode(server, LONG)), List.of(new Token(0, "a", "")));
      }
    }
  }

  /** Answers that are no success. */
  public static class Refused extends WithClient {
    /** Status, code, and what they mean. */
    @DataProvider
    public Object[][] table() {
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

    /** Only documented refusals count as not run. */
    @Test(dataProvider = "table")
    public void engine(int status, String code, FailureCause cause, Exposure exposure)
        throws Exception {
      try (ScriptedServer server =
          new ScriptedServer(
              (q, a) -> a.whole(status, "{\"error\":{\"code\":\"" + code + "\"}}"))) {
        assertFailure(decode(server, LONG), cause, exposure);
      }
    }

    /** What can not be read, or is too large, is a bad answer. */
    @Test
    public void unusable() throws Exception {
      try (ScriptedServer text =
              new ScriptedServer((q, a) -> a.startEvents().chunk("data: {\n\n").done());
          ScriptedServer endless =
              new ScriptedServer((q, a) -> a.startEvents().chunk("data: " + "x".repeat(600)));
          ScriptedServer large =
              new ScriptedServer((q, a) -> a.whole(200, "x".repeat(MAX_ANSWER + 1)))) {
        FailureCause bad = FailureCause.BAD_ANSWER;
        assertFailure(decode(text, LONG), bad, Exposure.MAY_HAVE_RUN);
        assertFailure(decode(endless, LONG), bad, Exposure.MAY_HAVE_RUN);
        assertFailure(send(large, Methods.GET, LONG), bad, Exposure.MAY_HAVE_RUN);
      }
    }
  }

  /** Upstreams that do not answer, and requests that wait. */
  public static class Waiting extends WithClient {
    /** An answer that does not come in time may have run; its connection is given up. */
    @Test
    public void timesOut() throws Exception {
      CountDownLatch never = new CountDownLatch(1);
      try (ScriptedServer server = new ScriptedServer((q, a) -> never.await())) {
        assertFailure(
            send(server, Methods.POST, SHORT), FailureCause.TIMED_OUT, Exposure.MAY_HAVE_RUN);
        server.next();
      }
      never.countDown();
    }

    /** A stream that falls silent times out, however long it spoke before. */
    @Test
    public void silenceTimesOut() throws Exception {
      CountDownLatch never = new CountDownLatch(1);
      try (ScriptedServer server =
          new ScriptedServer(
              (q, a) -> {
                a.startEvents().token(0, "a");
                never.await();
              })) {
        assertFailure(decode(server, SHORT), FailureCause.TIMED_OUT, Exposure.MAY_HAVE_RUN);
      }
      never.countDown();
    }

    /** Connections are capped, those who wait are served in turn, and too many are refused. */
    @Test
    public void capsConnections() throws Exception {
      Semaphore go = new Semaphore(0);
      try (ScriptedServer server =
          new ScriptedServer(
              (q, a) -> {
                go.acquire();
                a.whole(200, "ok");
              })) {
        List<CompletableFuture<Object>> sent = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS + 2; i++) {
          sent.add(send(server, Methods.POST, LONG));
        }
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
          server.next();
        }
        assertFailure(
            send(server, Methods.POST, LONG), FailureCause.CONNECT_FAILED, Exposure.NOT_SENT);
        assertEquals(
            client.openConnections(new UpstreamAddress(server.address())), MAX_CONNECTIONS);
        assertEquals(server.waitingRequests(), 0);
        go.release(sent.size());
        for (CompletableFuture<Object> one : sent) {
          assertEquals(status(one), 200);
        }
      }
    }

    /** A request that is given up just as it gets its connection was not sent, and never is. */
    @Test
    public void givenUpBeforeSend() throws Exception {
      try (ScriptedServer server = new ScriptedServer((q, a) -> a.whole(200, "ok"));
          HttpWorker oneThread = new HttpWorker(1);
          UpstreamClient single =
              new UpstreamClient(oneThread, UpstreamClientSettings.DEFAULT, System::nanoTime)) {
        UpstreamAddress to = new UpstreamAddress(server.address());
        CompletableFuture<Object> warm = new CompletableFuture<>();
        start(single, to, warm);
        assertEquals(status(warm), 200);
        CompletableFuture<Object> outcome = new CompletableFuture<>();
        // On its own thread the connection is lent at once, and used in a later task.
        oneThread.worker().getIoThread().execute(() -> start(single, to, outcome).abort());
        assertFailure(outcome, FailureCause.CONNECT_FAILED, Exposure.NOT_SENT);
        CompletableFuture<Object> next = new CompletableFuture<>();
        start(single, to, next);
        assertEquals(status(next), 200);
        server.next();
        server.next();
        assertEquals(server.waitingRequests(), 0);
      }
    }

    private static InFlight start(
        UpstreamClient client, UpstreamAddress to, CompletableFuture<Object> outcome) {
      return client.send(
          to,
          new UpstreamRequest(Methods.POST, "/x", ImmutableListMultimap.of(), new byte[1]),
          AnswerTimeout.whole(LONG),
          ConnectionUse.REQUEST,
          new WholeAnswer(MAX_ANSWER, outcome::complete, outcome::complete));
    }

    /** A request that never got a connection in time was not sent, and never is. */
    @Test
    public void timesOutUnsent() throws Exception {
      Semaphore go = new Semaphore(0);
      try (ScriptedServer server =
          new ScriptedServer(
              (q, a) -> {
                go.acquire();
                a.whole(200, "ok");
              })) {
        List<CompletableFuture<Object>> sent = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
          sent.add(send(server, Methods.POST, LONG));
          server.next();
        }
        assertFailure(
            send(server, Methods.POST, SHORT), FailureCause.CONNECT_FAILED, Exposure.NOT_SENT);
        go.release(MAX_CONNECTIONS);
        for (CompletableFuture<Object> one : sent) {
          assertEquals(status(one), 200);
        }
        assertEquals(server.waitingRequests(), 0);
      }
    }
  }
}
