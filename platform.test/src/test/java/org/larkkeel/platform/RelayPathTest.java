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
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.larkkeel.http.Json;
import org.testng.annotations.Test;

/** Tests of a node end to end, with stand-ins for the store and the runners. */
public class RelayPathTest {
  private static final String STAMP = "X-Request-Id: id-1\r\nX-Server-Stamp: s\r\n";
  private static final String END = "0\r\n\r\n";

  private static void respond(OutputStream out, int status, String body) throws IOException {
    RawServer.write(
        out,
        "HTTP/1.1 "
            + status
            + " X\r\n"
            + STAMP
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  private static void notRun(OutputStream out) throws IOException {
    RawServer.write(
        out, "HTTP/1.1 503 X\r\nX-Request-Id: id-1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  }

  private static void streamHead(OutputStream out) throws IOException {
    RawServer.write(
        out,
        "HTTP/1.1 200 OK\r\n"
            + STAMP
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
  }

  private static void event(OutputStream out, int id) throws IOException {
    chunk(out, "id: " + id + "\ndata: piece-" + id + "\n\n");
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    RawServer.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  /** Tests of requests whose answer is not a stream. */
  public static class Plain {
    @Test
    public void passesRequestAndAnswerUnchanged() throws Exception {
      List<RawServer.Request> seen = new CopyOnWriteArrayList<>();
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        w.runner(
            "i-1",
            "app",
            "",
            (r, out, s) -> {
              seen.add(r);
              respond(out, 200, "answer");
            });
        String answer =
            w.exchange(
                "POST", "/once/a%20b?q=%2F", "X-Deadline-Ms: 3000\r\nX-Other: kept\r\n", "body");
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        assertTrue(answer.contains("X-Server-Stamp: s"), answer);
        assertTrue(answer.endsWith("\r\n\r\nanswer"), answer);
      }
      RawServer.Request r = seen.getFirst();
      assertEquals(r.method(), "POST");
      assertEquals(r.target(), "/once/a%20b?q=%2F");
      assertEquals(r.body(), "body");
      assertEquals(r.header("X-Request-Id"), "id-1");
      assertEquals(r.header("X-Other"), "kept");
      assertEquals(r.header("X-Expect-Instance"), "i-1");
      assertTrue(Integer.parseInt(r.header("X-Deadline-Ms")) <= 3_000);
    }

    // Guards against bodies that are read no further after the first turn of the event loop.
    @Test
    public void passesLargeBodies() throws Exception {
      String body = "0123456789abcdef".repeat(40_000);
      List<String> seen = new CopyOnWriteArrayList<>();
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        w.runner(
            "i-1",
            "app",
            "",
            (r, out, s) -> {
              seen.add(r.body());
              respond(out, 200, r.body());
            });
        assertTrue(w.exchange("POST", "/once/a", "", body).endsWith(body));
        String chunk = Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n";
        try (RawClient client = new RawClient(w.address())) {
          client.send("POST", "/once/b", "Transfer-Encoding: chunked\r\n\r\n" + chunk, "");
          assertTrue(client.readToEnd().endsWith(body));
        }
      }
      assertEquals(seen, List.of(body, body));
    }

    @Test
    public void retriesRequestThatDidNotRun() throws Exception {
      AtomicInteger ran = new AtomicInteger();
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        RawServer.Script once =
            (r, out, s) -> {
              if (ran.incrementAndGet() == 1) {
                notRun(out);
              } else {
                respond(out, 200, "second");
              }
            };
        w.runner("i-1", "app", "", once);
        w.runner("i-2", "app", "", once);
        assertTrue(w.exchange("POST", "/once/a", "", "x").endsWith("second"));
      }
      assertEquals(ran.get(), 2);
    }

    @Test
    public void doesNotRetryRequestThatMayHaveRun() throws Exception {
      AtomicInteger ran = new AtomicInteger();
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        RawServer.Script breaks =
            (r, out, s) -> {
              ran.incrementAndGet();
              RawServer.write(out, "HTTP/1.1 200 X\r\n" + STAMP + "Content-Length: 9\r\n\r\npart");
              s.close();
            };
        w.runner("i-1", "app", "", breaks);
        w.runner("i-2", "app", "", breaks);
        String answer = w.exchange("POST", "/once/a", "", "x");
        assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        assertFalse(answer.contains("X-Server-Stamp"), answer);
      }
      assertEquals(ran.get(), 1);
    }

    @Test
    public void refusesAtOnceWithRetryAfter() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        w.runner("i-1", "app", "", (r, out, s) -> notRun(out));
        String answer = w.exchange("POST", "/once/a", "", "x");
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertTrue(answer.contains("Retry-After: 0.200"), answer);
      }
    }

    @Test
    public void neverPassesAnAnswerToAnotherRequest() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        w.runner(
            "i-1",
            "app",
            "",
            (r, out, s) ->
                RawServer.write(
                    out,
                    "HTTP/1.1 200 X\r\nX-Request-Id: id-0\r\nX-Server-Stamp: s\r\n"
                        + "Content-Length: 5\r\n\r\nother"));
        String answer = w.exchange("POST", "/once/a", "", "x");
        assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        assertFalse(answer.contains("other"), answer);
      }
    }

    @Test
    public void doesNotReportNotRunUnlessTheRunnerDid() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        w.runner("i-1", "app", "", (r, out, s) -> respond(out, 503, "busy"));
        String answer = w.exchange("POST", "/once/a", "", "x");
        assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
      }
    }

    @Test
    public void answersAtTheDeadlineIfTheRunnerIsUnresponsive() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        w.runner("i-1", "app", "", (r, out, s) -> Thread.sleep(60_000));
        String answer = w.exchange("POST", "/once/a", "X-Deadline-Ms: 300\r\n", "x");
        assertTrue(answer.startsWith("HTTP/1.1 504"), answer);
      }
    }

    @Test
    public void answersWithErrorIfTheRunnerSendsGarbage() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        w.runner("i-1", "app", "", (r, out, s) -> RawServer.write(out, "\u0000\u0001garbage\r\n"));
        String answer = w.exchange("POST", "/once/a", "X-Deadline-Ms: 500\r\n", "x");
        assertTrue(answer.startsWith("HTTP/1.1 50"), answer);
        assertEquals(w.node.inProgress(), 0);
      }
    }

    @Test
    public void answersWithoutRuleOrConfiguration() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup()) {
        assertTrue(w.exchange("GET", "/safe/a", "", "").startsWith("HTTP/1.1 503"));
        w.configured();
        assertTrue(w.exchange("GET", "/none/a", "", "").startsWith("HTTP/1.1 404"));
      }
    }
  }

  /** Tests of streams that are generated in two stages. */
  public static class Streams {
    private static final String PROMPT =
        "X-Model: m\r\nX-Token-Usage: 1000,200\r\nX-Prefix-Hash: 5c:800,91:200\r\n";

    private static void prefillRunner(RelayTestSetup w, AtomicInteger freed) {
      w.runner(
          "i-read",
          "model",
          "prefill",
          (r, out, s) -> {
            if (r.method().equals("DELETE")) {
              freed.incrementAndGet();
              respond(out, 200, "");
              return;
            }
            assertEquals(r.header("X-Serving-Stage"), "prefill");
            respond(out, 200, "{\"prefill_handle\":\"h1\",\"tokens\":1000,\"version\":1}");
          });
    }

    @Test
    public void transfersThePromptAndStreams() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        prefillRunner(w, new AtomicInteger());
        List<RawServer.Request> seen = new CopyOnWriteArrayList<>();
        w.runner(
            "i-run",
            "model",
            "decode",
            (r, out, s) -> {
              seen.add(r);
              streamHead(out);
              event(out, 1);
              event(out, 2);
              RawServer.write(out, END);
            });
        String answer = w.exchange("POST", "/stream/a", PROMPT, "x");
        assertTrue(answer.contains("data: piece-1\n\n"), answer);
        assertTrue(answer.contains("data: piece-2\n\n"), answer);
        assertTrue(answer.endsWith(END), answer);
        assertTrue(seen.getFirst().header("X-Kv-Source").endsWith("/h1"));
        assertEquals(seen.getFirst().header("X-Prefix-Hash"), "5c:800,91:200");
      }
    }

    @Test
    public void truncatesStreamThatMayNotResume() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        prefillRunner(w, new AtomicInteger());
        w.runner(
            "i-run",
            "model",
            "decode",
            (r, out, s) -> {
              streamHead(out);
              event(out, 1);
              chunk(out, "id: 2\nda");
              s.close();
            });
        String answer = w.exchange("POST", "/stream/a", PROMPT, "x");
        assertTrue(answer.contains("piece-1"), answer);
        assertFalse(answer.endsWith(END), answer);
        assertFalse(answer.contains("id: 2"), answer);
      }
    }

    @Test
    public void resumesAfterTheLastCompleteEvent() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        prefillRunner(w, new AtomicInteger());
        List<String> resumed = new CopyOnWriteArrayList<>();
        RawServer.Script runner =
            (r, out, s) -> {
              streamHead(out);
              if (r.header("Last-Event-Id") == null) {
                event(out, 1);
                event(out, 2);
                chunk(out, "id: 3\nda");
                s.close();
                return;
              }
              resumed.add(r.header("Last-Event-Id"));
              event(out, 3);
              RawServer.write(out, END);
            };
        w.runner("i-run-1", "model", "decode", runner);
        w.runner("i-run-2", "model", "decode", runner);
        String answer = w.exchange("POST", "/resume/a", PROMPT, "x");
        assertEquals(resumed, List.of("2"));
        assertEquals(answer.split("id: 3\n", -1).length, 2, answer);
        assertTrue(answer.endsWith(END), answer);
      }
    }

    @Test
    public void movesTheRunOffLeavingRunner() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        prefillRunner(w, new AtomicInteger());
        BlockingQueue<Socket> running = new LinkedBlockingQueue<>();
        List<String> moves = new CopyOnWriteArrayList<>();
        RawServer.Script first =
            (r, out, s) -> {
              if (r.target().equals("/larkkeel/kv-move")) {
                moves.add(r.body());
                boolean last = moves.size() == 2;
                if (last) {
                  running.take().close();
                }
                respond(
                    out, 200, "{\"prefill_handle\":\"c" + moves.size() + "\",\"create_rev\":2}");
                return;
              }
              streamHead(out);
              event(out, 1);
              event(out, 2);
              running.add(s);
              s.getInputStream().read();
            };
        RawServer source = w.runner("i-run-1", "model", "decode", first);
        CompletableFuture<String> answer =
            CompletableFuture.supplyAsync(
                () -> {
                  try {
                    return w.exchange("POST", "/stream/a", PROMPT, "x");
                  } catch (IOException e) {
                    throw new UncheckedIOException(e);
                  }
                });
        RelayTestSetup.await(() -> !running.isEmpty());
        List<RawServer.Request> continued = new CopyOnWriteArrayList<>();
        final RawServer destination =
            w.runner(
                "i-run-2",
                "model",
                "decode",
                (r, out, s) -> {
                  continued.add(r);
                  streamHead(out);
                  event(out, 3);
                  RawServer.write(out, END);
                });
        w.announceLeaving("i-run-1", "model", "decode", source);
        String text = answer.get(20, TimeUnit.SECONDS);
        assertTrue(text.contains("piece-2"), text);
        assertEquals(text.split("id: 3\n", -1).length, 2, text);
        assertTrue(text.endsWith(END), text);
        String expected = "\"destination\":\"" + destination.address() + "\",\"last\":";
        assertTrue(moves.get(0).contains(expected + "false"), moves.toString());
        assertTrue(moves.get(1).contains(expected + "true"), moves.toString());
        assertEquals(continued.getFirst().header("X-Kv-Source"), source.address() + "/c2");
        assertEquals(continued.getFirst().header("Last-Event-Id"), "2");
      }
    }

    @Test
    public void endsTheRunOfDisconnectedCaller() throws Exception {
      CountDownLatch reset = new CountDownLatch(1);
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        prefillRunner(w, new AtomicInteger());
        w.runner(
            "i-run",
            "model",
            "decode",
            (r, out, s) -> {
              streamHead(out);
              event(out, 1);
              try {
                s.getInputStream().read();
              } catch (SocketException e) {
                reset.countDown();
              }
            });
        try (RawClient client = new RawClient(w.address())) {
          client.send("POST", "/stream/a", PROMPT, "x");
          client.readUntil("piece-1");
        }
        assertTrue(reset.await(3, TimeUnit.SECONDS));
        RelayTestSetup.await(() -> w.node.inProgress() == 0);
      }
    }
  }

  /** Tests of the use of the store. */
  public static class Store {
    @Test
    public void usesKnownStateWhileTheStoreRefuses() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        w.runner("i-1", "app", "", (r, out, s) -> respond(out, 200, "ok"));
        w.store.refuseWith(503);
        assertTrue(w.exchange("GET", "/safe/a", "", "").endsWith("ok"));
        assertTrue(w.node.isReady());
        w.store.refuseWith(0);
      }
    }

    @Test
    public void registersTheNode() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        RelayTestSetup.await(() -> w.store.has("relay-nodes", "node-1"));
      }
    }

    @Test
    public void keepsItsConfigurationIfNewOneIsInvalid() throws Exception {
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        w.runner("i-1", "app", "", (r, out, s) -> respond(out, 200, "ok"));
        var broken = Json.object();
        broken.put("version", 9).putArray("routes").addObject().put("name", "r");
        w.store.put("config", "main", broken);
        w.runner("i-2", "app", "", (r, out, s) -> respond(out, 200, "ok"));
        assertTrue(w.exchange("GET", "/safe/a", "", "").endsWith("ok"));
      }
    }
  }

  /** Tests of draining a node. */
  public static class Drain {
    @Test
    public void forwardsNoNewRequestsWhileDraining() throws Exception {
      CountDownLatch received = new CountDownLatch(1);
      CountDownLatch mayAnswer = new CountDownLatch(1);
      AtomicInteger ran = new AtomicInteger();
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        w.runner(
            "i-1",
            "app",
            "",
            (r, out, s) -> {
              ran.incrementAndGet();
              received.countDown();
              mayAnswer.await();
              respond(out, 200, "whole");
            });
        try (RawClient client = new RawClient(w.address())) {
          client.send("POST", "/once/a", "", "x");
          assertTrue(received.await(20, TimeUnit.SECONDS));
          w.node.drain();
          RelayTestSetup.await(
              () -> {
                try {
                  return w.exchange("POST", "/once/b", "X-Deadline-Ms: 200\r\n", "x")
                      .startsWith("HTTP/1.1 503");
                } catch (IOException e) {
                  throw new AssertionError(e);
                }
              });
          int before = ran.get();
          assertTrue(w.exchange("POST", "/once/c", "", "x").contains("Retry-After"));
          assertEquals(ran.get(), before);
          assertFalse(w.node.drained().isDone());
          mayAnswer.countDown();
          assertTrue(client.readToEnd().endsWith("whole"));
        }
        w.node.drained().get(20, TimeUnit.SECONDS);
      }
    }

    @Test
    public void finishesRequestsInProgress() throws Exception {
      CountDownLatch received = new CountDownLatch(1);
      CountDownLatch mayAnswer = new CountDownLatch(1);
      try (RelayTestSetup w = new RelayTestSetup().configured()) {
        w.runner(
            "i-1",
            "app",
            "",
            (r, out, s) -> {
              received.countDown();
              mayAnswer.await();
              respond(out, 200, "whole");
            });
        try (RawClient client = new RawClient(w.address())) {
          client.send("POST", "/once/a", "", "x");
          assertTrue(received.await(20, TimeUnit.SECONDS));
          w.node.drain();
          assertFalse(w.node.isReady());
          assertFalse(w.node.drained().isDone());
          mayAnswer.countDown();
          assertTrue(client.readToEnd().endsWith("whole"));
        }
        w.node.drained().get(20, TimeUnit.SECONDS);
      }
    }
  }
}
