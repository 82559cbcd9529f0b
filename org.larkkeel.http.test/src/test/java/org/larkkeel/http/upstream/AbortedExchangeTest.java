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
import io.undertow.util.Methods;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.larkkeel.http.HttpWorker;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Requests that are aborted or answered early, which must end once and free the connection. */
public class AbortedExchangeTest {
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final int MAX_CONNECTIONS = 4;

  /** Counts the final calls of a request and keeps the outcome of the first one. */
  private static final class CountingHandler implements ResponseHandler {
    final AtomicInteger count = new AtomicInteger();
    final CompletableFuture<String> first = new CompletableFuture<>();
    private final StringBuilder body = new StringBuilder();

    @Override
    public boolean onHeaders(int status, HeaderMap headers) {
      return true;
    }

    @Override
    public synchronized boolean onBody(ByteBuffer part) {
      body.append(StandardCharsets.ISO_8859_1.decode(part));
      return true;
    }

    @Override
    public synchronized void onEnd() {
      count.incrementAndGet();
      first.complete("end " + body);
    }

    @Override
    public void onFailure(UpstreamFailure failure) {
      count.incrementAndGet();
      first.complete("failed " + failure);
    }
  }

  /** Creates a client and a server socket for each test. */
  public abstract static class Fixture {
    ServerSocket server;
    HttpWorker worker;
    UpstreamClient client;
    UpstreamAddress to;

    /** Opens the server socket and creates the client. */
    @BeforeMethod
    public void start() throws IOException {
      server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
      worker = new HttpWorker(2);
      client =
          new UpstreamClient(
              worker,
              new UpstreamClientSettings(MAX_CONNECTIONS, 1, 2_000, 60_000, 1 << 20, 500),
              System::nanoTime);
      to = new UpstreamAddress((InetSocketAddress) server.getLocalSocketAddress());
    }

    /** Closes the client and the server socket. */
    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
      client.close();
      worker.close();
      server.close();
    }

    InFlightRequest send(String target, byte[] body, ResponseHandler handler) {
      return client.send(
          to,
          new UpstreamRequest(Methods.POST, target, ImmutableListMultimap.of(), body),
          ResponseTimeout.total(TIMEOUT_NANOS),
          ConnectionUse.REQUEST,
          handler);
    }

    static void await(BooleanSupplier condition, String message) throws InterruptedException {
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
      while (!condition.getAsBoolean()) {
        assertTrue(System.nanoTime() < end, message);
        Thread.sleep(5);
      }
    }
  }

  static String readHead(InputStream in) throws IOException {
    StringBuilder all = new StringBuilder();
    while (all.indexOf("\r\n\r\n") < 0) {
      int b = in.read();
      if (b < 0) {
        return "";
      }
      all.append((char) b);
    }
    return all.toString();
  }

  /** Aborts while the body is written, which must reset the connection and end the request once. */
  public static class WhileBodyIsWritten extends Fixture {
    @Test
    public void abortEndsOnceWithReset() throws Exception {
      CountingHandler handler = new CountingHandler();
      InFlightRequest inFlight = send("/x", new byte[64 << 20], handler);
      try (Socket s = server.accept()) {
        readHead(s.getInputStream());
        Thread.sleep(200);
        assertEquals(client.openConnections(to), 1);
        inFlight.abort();
        inFlight.abort();
        String end = handler.first.get(5, TimeUnit.SECONDS);
        assertTrue(end.contains("MAY_HAVE_RUN"), end);
        await(
            () -> client.openConnections(to) == 0,
            "open connections: " + client.openConnections(to));
        s.setSoTimeout(3_000);
        try {
          while (s.getInputStream().read(new byte[1 << 16]) >= 0) {
            // Skips the part of the body that was written before the abort.
          }
          throw new AssertionError("the connection was closed without a reset");
        } catch (SocketException e) {
          // Expected: the client resets the connection.
        }
        Thread.sleep(300);
        assertEquals(handler.count.get(), 1);
        assertEquals(client.openConnections(to), 0);
      }
    }
  }

  /** Responses before the request was read; the pool must not keep counting the connection. */
  public static class EarlyResponse extends Fixture {
    @Test
    public void closesConnectionPromptly() throws Exception {
      CountingHandler handler = new CountingHandler();
      send("/x", new byte[64 << 20], handler);
      try (Socket s = server.accept()) {
        readHead(s.getInputStream());
        s.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes());
        assertEquals(handler.first.get(5, TimeUnit.SECONDS), "end ok");
        await(
            () -> client.openConnections(to) == 0, "the connection still counts as open after 5 s");
      }
      assertEquals(handler.count.get(), 1);
    }
  }

  /** Requests aborted while they wait for a connection; they must not keep the queue full. */
  public static class WaitingForConnection extends Fixture {
    @Test
    public void abortedWaitersDoNotFillQueue() throws Exception {
      try (UpstreamClient small =
          new UpstreamClient(
              worker,
              new UpstreamClientSettings(1, 1, 2, 60_000, 1 << 20, 500),
              System::nanoTime)) {
        UpstreamRequest request =
            new UpstreamRequest(Methods.POST, "/x", ImmutableListMultimap.of(), new byte[1]);
        CountingHandler active = new CountingHandler();
        small.send(
            to, request, ResponseTimeout.total(TIMEOUT_NANOS), ConnectionUse.REQUEST, active);
        try (Socket s = server.accept()) {
          readHead(s.getInputStream());
          s.getInputStream().read();
          for (int i = 0; i < 2; i++) {
            CountingHandler aborted = new CountingHandler();
            small
                .send(
                    to,
                    request,
                    ResponseTimeout.total(TIMEOUT_NANOS),
                    ConnectionUse.REQUEST,
                    aborted)
                .abort();
            aborted.first.get(5, TimeUnit.SECONDS);
          }
          CountingHandler next = new CountingHandler();
          small.send(
              to, request, ResponseTimeout.total(TIMEOUT_NANOS), ConnectionUse.REQUEST, next);
          s.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes());
          assertTrue(!next.first.isDone(), next.first.getNow(""));
          readHead(s.getInputStream());
          s.getInputStream().read();
          s.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes());
          assertEquals(next.first.get(5, TimeUnit.SECONDS), "end ok");
        }
      }
    }
  }

  /** Requests aborted at random times, some while their response arrives. */
  public static class AtRandomTimes extends Fixture {
    @Test
    public void endsEachOnceWithoutAffectingOthers() throws Exception {
      Thread.ofVirtual()
          .start(
              () -> {
                try {
                  while (true) {
                    Socket s = server.accept();
                    Thread.ofVirtual().start(() -> serve(s));
                  }
                } catch (IOException e) {
                  // The test closed the server socket.
                }
              });
      Random random = new Random(5);
      List<CountingHandler> all = new ArrayList<>();
      List<CountingHandler> notAborted = new ArrayList<>();
      for (int i = 0; i < 3_000; i++) {
        CountingHandler handler = new CountingHandler();
        all.add(handler);
        InFlightRequest inFlight = send("/n" + i, new byte[random.nextInt(3_000)], handler);
        if (random.nextInt(3) > 0) {
          int micros = random.nextInt(3_000);
          Thread.ofVirtual()
              .start(
                  () -> {
                    try {
                      TimeUnit.MICROSECONDS.sleep(micros);
                    } catch (InterruptedException e) {
                      return;
                    }
                    inFlight.abort();
                    inFlight.abort();
                  });
        } else {
          notAborted.add(handler);
        }
        if (i % 8 == 0) {
          Thread.sleep(1);
        }
      }
      for (int i = 0; i < all.size(); i++) {
        String end = all.get(i).first.get(20, TimeUnit.SECONDS);
        assertTrue(end.startsWith("failed") || end.equals("end /n" + i), i + ": " + end);
        if (notAborted.contains(all.get(i))) {
          assertEquals(end, "end /n" + i);
        }
      }
      await(
          () -> client.openConnections(to) <= MAX_CONNECTIONS,
          "open connections: " + client.openConnections(to));
      assertTrue(client.openConnections(to) >= 0);
      Thread.sleep(200);
      for (CountingHandler e : all) {
        assertEquals(e.count.get(), 1);
      }
      client.close();
      await(
          () -> client.openConnections(to) == 0,
          "open connections after close: " + client.openConnections(to));
    }

    private static void serve(Socket s) {
      Random random = new Random(s.getPort());
      try (s) {
        InputStream in = s.getInputStream();
        for (String h = readHead(in); !h.isEmpty(); h = readHead(in)) {
          int at = h.indexOf("Content-Length: ") + 16;
          in.readNBytes(Integer.parseInt(h.substring(at, h.indexOf('\r', at))));
          String target = h.split(" ")[1];
          TimeUnit.MICROSECONDS.sleep(random.nextInt(2_000));
          s.getOutputStream()
              .write(
                  ("HTTP/1.1 200 OK\r\nContent-Length: " + target.length() + "\r\n\r\n" + target)
                      .getBytes());
        }
      } catch (IOException | InterruptedException e) {
        // The client reset the connection.
      }
    }
  }
}
