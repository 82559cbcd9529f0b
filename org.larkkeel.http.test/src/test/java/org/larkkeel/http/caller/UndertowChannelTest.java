/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.caller;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.undertow.Undertow;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.testng.annotations.Test;

/** What a caller sees of an answer, byte for byte. */
public class UndertowChannelTest {
  private static final byte[] PIECE = "data: piece\n\n".getBytes(StandardCharsets.UTF_8);
  private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
  private static final int LONGEST_MILLIS = 10_000;

  /** Answers one request on its I/O thread; returns all bytes until the connection ends. */
  private static String answer(Consumer<UndertowChannel> script) throws IOException {
    CallerSettings settings = CallerSettings.on(new InetSocketAddress("127.0.0.1", 0));
    Undertow server =
        Undertow.builder()
            .setIoThreads(1)
            .addHttpListener(0, "127.0.0.1")
            .setHandler(
                exchange ->
                    exchange.dispatch(
                        SameThreadExecutor.INSTANCE,
                        () -> script.accept(new UndertowChannel(exchange, settings, () -> {}))))
            .build();
    server.start();
    try {
      return exchange((InetSocketAddress) server.getListenerInfo().getFirst().getAddress());
    } finally {
      server.stop();
    }
  }

  private static String exchange(InetSocketAddress address) throws IOException {
    StringBuilder seen = new StringBuilder();
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout(LONGEST_MILLIS);
      socket
          .getOutputStream()
          .write(
              "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                  .getBytes(StandardCharsets.US_ASCII));
      byte[] buffer = new byte[1_000];
      int n = socket.getInputStream().read(buffer);
      while (n >= 0) {
        seen.append(new String(buffer, 0, n, StandardCharsets.UTF_8));
        n = socket.getInputStream().read(buffer);
      }
    } catch (SocketException e) {
      // A reset ends the answer as well.
    }
    return seen.toString();
  }

  /** Streams. */
  public static class Streams {
    @Test
    public void lookWholeOnceTheyHaveEnded() throws IOException {
      String seen =
          answer(
              channel -> {
                channel.stream(PIECE);
                channel.endStream();
              });
      assertTrue(seen.endsWith(LAST_CHUNK), seen);
    }

    @Test
    public void neverLookWholeWhenTheyAreCutBeforeTheirBeginningIsWritten() throws IOException {
      String seen =
          answer(
              channel -> {
                channel.stream(PIECE);
                channel.drop();
              });
      assertFalse(seen.endsWith(LAST_CHUNK), seen);
    }
  }
}
