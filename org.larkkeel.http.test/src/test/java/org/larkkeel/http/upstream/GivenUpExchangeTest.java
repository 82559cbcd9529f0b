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

/** Requests that are given up at any point. */
public class GivenUpExchangeTest {
  private static final long LONG = TimeUnit.SECONDS.toNanos(20);
  private static final int MOST = 4;

  /** Counts the ends. */
  private static final class Ends implements ResponseHandler {
    final AtomicInteger count = new AtomicInteger();
    final CompletableFuture<String> first = new CompletableFuture<>();
    private final StringBuilder body = new StringBuilder();

    @Override
    public void onHeaders(int status, HeaderMap headers) {}

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

  /** A client and a server socket. */
  public abstract static class Rig {
    ServerSocket server;
    HttpWorker worker;
    UpstreamClient client;
    UpstreamAddress to;

    /** Starts them. */
    @BeforeMethod
    public void start() throws IOException {
      server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
      worker = new HttpWorker(2);
      client =
          new UpstreamClient(
              worker,
              new UpstreamClientSettings(MOST, 1, 2_000, 60_000, 1 << 20, 500),
              System::nanoTime);
      to = new UpstreamAddress((InetSocketAddress) server.getLocalSocketAddress());
    }

    /** Stops them. */
    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
      client.close();
      worker.close();
      server.close();
    }

    InFlight send(String target, byte[] body, ResponseHandler handler) {
      return client.send(
          to,
          new UpstreamRequest(Methods.POST, target, ImmutableListMultimap.of(), body),
          AnswerTimeout.whole(LONG),
          ConnectionUse.REQUEST,
          handler);
    }

    static void await(BooleanSupplier condition, String what) throws InterruptedException {
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
      while (!condition.getAsBoolean()) {
        assertTrue(System.nanoTime() < end, what);
        Thread.sleep(5);
      }
    }
  }

  static String head(InputStream in) throws IOException {
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

  /** Bodies of which a part is written. */
  public static class WhileItIsWritten extends Rig {
    @Test
    public void endsOnce() throws Exception {
      Ends ends = new Ends();
      InFlight flying = send("/x", new byte[64 << 20], ends);
      try (Socket s = server.accept()) {
        head(s.getInputStream());
        Thread.sleep(200);
        assertEquals(client.openConnections(to), 1);
        flying.abort();
        flying.abort();
        String end = ends.first.get(5, TimeUnit.SECONDS);
        assertTrue(end.contains("MAY_HAVE_RUN"), end);
        await(() -> client.openConnections(to) == 0, "open " + client.openConnections(to));
        s.setSoTimeout(3_000);
        try {
          while (s.getInputStream().read(new byte[1 << 16]) >= 0) {
            // What was written before.
          }
          throw new AssertionError("a proper end");
        } catch (SocketException e) {
          // The reset.
        }
        Thread.sleep(300);
        assertEquals(ends.count.get(), 1);
        assertEquals(client.openConnections(to), 0);
      }
    }
  }

  /** Answers that come before the request has been read. */
  public static class EarlyAnswer extends Rig {
    @Test
    public void freesTheConnectionSoon() throws Exception {
      Ends ends = new Ends();
      send("/x", new byte[64 << 20], ends);
      try (Socket s = server.accept()) {
        head(s.getInputStream());
        s.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes());
        assertEquals(ends.first.get(5, TimeUnit.SECONDS), "end ok");
        await(() -> client.openConnections(to) == 0, "still counted as open after 5 s");
      }
      assertEquals(ends.count.get(), 1);
    }
  }

  /** Requests that wait for a connection and are given up. */
  public static class Waiting extends Rig {
    @Test
    public void doesNotTakeThePlaceOfOthers() throws Exception {
      try (UpstreamClient small =
          new UpstreamClient(
              worker,
              new UpstreamClientSettings(1, 1, 2, 60_000, 1 << 20, 500),
              System::nanoTime)) {
        UpstreamRequest r =
            new UpstreamRequest(Methods.POST, "/x", ImmutableListMultimap.of(), new byte[1]);
        Ends holds = new Ends();
        small.send(to, r, AnswerTimeout.whole(LONG), ConnectionUse.REQUEST, holds);
        try (Socket s = server.accept()) {
          head(s.getInputStream());
          s.getInputStream().read();
          for (int i = 0; i < 2; i++) {
            Ends leaves = new Ends();
            small.send(to, r, AnswerTimeout.whole(LONG), ConnectionUse.REQUEST, leaves).abort();
            leaves.first.get(5, TimeUnit.SECONDS);
          }
          Ends next = new Ends();
          small.send(to, r, AnswerTimeout.whole(LONG), ConnectionUse.REQUEST, next);
          s.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes());
          assertTrue(!next.first.isDone(), next.first.getNow(""));
          head(s.getInputStream());
          s.getInputStream().read();
          s.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes());
          assertEquals(next.first.get(5, TimeUnit.SECONDS), "end ok");
        }
      }
    }
  }

  /** Requests that are given up at random times, some as their answer comes. */
  public static class AtAnyTime extends Rig {
    @Test
    public void endsEachOnceAndNeverHarmsAnother() throws Exception {
      Thread.ofVirtual()
          .start(
              () -> {
                try {
                  while (true) {
                    Socket s = server.accept();
                    Thread.ofVirtual().start(() -> serve(s));
                  }
                } catch (IOException e) {
                  // Closed by the test.
                }
              });
      Random random = new Random(5);
      List<Ends> all = new ArrayList<>();
      List<Ends> kept = new ArrayList<>();
      for (int i = 0; i < 3_000; i++) {
        Ends ends = new Ends();
        all.add(ends);
        InFlight flying = send("/n" + i, new byte[random.nextInt(3_000)], ends);
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
                    flying.abort();
                    flying.abort();
                  });
        } else {
          kept.add(ends);
        }
        if (i % 8 == 0) {
          Thread.sleep(1);
        }
      }
      for (int i = 0; i < all.size(); i++) {
        String end = all.get(i).first.get(20, TimeUnit.SECONDS);
        assertTrue(end.startsWith("failed") || end.equals("end /n" + i), i + ": " + end);
        if (kept.contains(all.get(i))) {
          assertEquals(end, "end /n" + i);
        }
      }
      await(() -> client.openConnections(to) <= MOST, "open " + client.openConnections(to));
      assertTrue(client.openConnections(to) >= 0);
      Thread.sleep(200);
      for (Ends e : all) {
        assertEquals(e.count.get(), 1);
      }
      client.close();
      await(() -> client.openConnections(to) == 0, "left open " + client.openConnections(to));
    }

    private static void serve(Socket s) {
      Random random = new Random(s.getPort());
      try (s) {
        InputStream in = s.getInputStream();
        for (String h = head(in); !h.isEmpty(); h = head(in)) {
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
        // Reset by the client.
      }
    }
  }
}
