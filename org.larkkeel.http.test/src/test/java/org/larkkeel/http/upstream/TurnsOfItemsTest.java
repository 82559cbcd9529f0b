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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.larkkeel.http.HttpWorker;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.xnio.XnioIoThread;

/** Bodies of many small items, which must leave the event loop to others between two turns. */
public class TurnsOfItemsTest {
  /** Counts the items of a body, and the most of them before other work of the loop ran. */
  private static final class TurnCounter implements ResponseHandler {
    final CompletableFuture<String> end = new CompletableFuture<>();
    final CountDownLatch headRead = new CountDownLatch(1);
    final CountDownLatch bodyWritten = new CountDownLatch(1);
    private final byte separator;
    private final StringBuilder body = new StringBuilder();
    private boolean otherWorkWaits;
    private int itemsInPart;
    private int itemsInTurn;
    private int maxItemsInTurn;

    /** Creates a counter of items that end with a byte, or of parts if that is 0. */
    TurnCounter(char separator) {
      this.separator = (byte) separator;
    }

    @Override
    public boolean onHeaders(int status, HeaderMap headers) {
      headRead.countDown();
      try {
        return bodyWritten.await(10, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        return false;
      }
    }

    @Override
    public boolean onBody(ByteBuffer part) {
      String text = StandardCharsets.ISO_8859_1.decode(part).toString();
      body.append(text);
      itemsInPart = (int) text.chars().filter(c -> c == separator).count();
      itemsInTurn += separator == 0 ? 1 : itemsInPart;
      maxItemsInTurn = Math.max(maxItemsInTurn, itemsInTurn);
      if (!otherWorkWaits) {
        otherWorkWaits = true;
        XnioIoThread.currentThread().execute(this::runOtherWork);
      }
      return true;
    }

    private void runOtherWork() {
      otherWorkWaits = false;
      itemsInTurn = 0;
    }

    @Override
    public int itemsInLastPart() {
      return itemsInPart;
    }

    @Override
    public void onEnd() {
      end.complete(body.toString());
    }

    @Override
    public void onFailure(UpstreamFailure failure) {
      end.complete("failed " + failure);
    }
  }

  /** Bodies that are complete in the socket before the first byte is read. */
  public static class WrittenAtOnce {
    private ServerSocket server;
    private HttpWorker worker;
    private UpstreamClient client;

    /** Opens the server socket and creates the client. */
    @BeforeMethod
    public void start() throws IOException {
      server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
      worker = new HttpWorker(1);
      client =
          new UpstreamClient(
              worker,
              new UpstreamClientSettings(1, 1, 2_000, 60_000, 1 << 20, 500),
              System::nanoTime);
    }

    /** Closes the client and the server socket. */
    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
      client.close();
      worker.close();
      server.close();
    }

    /** Sends a request, and returns its body once it was answered with a head and that body. */
    private String exchange(TurnCounter counter, String head, String body) throws Exception {
      client.send(
          new UpstreamAddress((InetSocketAddress) server.getLocalSocketAddress()),
          new UpstreamRequest(Methods.GET, "/x", ImmutableListMultimap.of(), new byte[0]),
          ResponseTimeout.total(TimeUnit.SECONDS.toNanos(20)),
          ConnectionUse.REQUEST,
          counter);
      try (Socket s = server.accept()) {
        AbortedExchangeTest.readHead(s.getInputStream());
        s.getOutputStream().write(ascii("HTTP/1.1 200 OK\r\n" + head + "\r\n\r\n"));
        assertTrue(counter.headRead.await(10, TimeUnit.SECONDS));
        s.getOutputStream().write(ascii(body));
        counter.bodyWritten.countDown();
        return counter.end.get(10, TimeUnit.SECONDS);
      }
    }

    private static byte[] ascii(String text) {
      return text.getBytes(StandardCharsets.US_ASCII);
    }

    // Guards against a turn of the event loop with thousands of events of a few bytes each.
    @Test
    public void turnHoldsFewSmallEvents() throws Exception {
      String events = "data:x\n".repeat(8_000);
      TurnCounter counter = new TurnCounter('\n');
      assertEquals(exchange(counter, "Content-Length: " + events.length(), events), events);
      assertTrue(counter.maxItemsInTurn <= 1_100, counter.maxItemsInTurn + " events in a turn");
    }

    // Guards against a turn of the event loop with thousands of chunks of a byte each.
    @Test
    public void turnHoldsFewSmallChunks() throws Exception {
      TurnCounter counter = new TurnCounter((char) 0);
      String chunks = "1\r\nx\r\n".repeat(9_000) + "0\r\n\r\n";
      assertEquals(exchange(counter, "Transfer-Encoding: chunked", chunks), "x".repeat(9_000));
      assertTrue(counter.maxItemsInTurn <= 3_500, counter.maxItemsInTurn + " chunks in a turn");
    }
  }
}
