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

/** Guards against answers whose bytes let a truncated stream look complete to the caller. */
public class UndertowChannelTest {
  private static final byte[] EVENT = "data: piece\n\n".getBytes(StandardCharsets.UTF_8);
  private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
  private static final int TIMEOUT_MILLIS = 10_000;

  /**
   * Answers one request on its I/O thread by the script; returns all bytes until the connection
   * ends.
   */
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
    StringBuilder received = new StringBuilder();
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket
          .getOutputStream()
          .write(
              "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                  .getBytes(StandardCharsets.US_ASCII));
      byte[] buffer = new byte[1_000];
      int n = socket.getInputStream().read(buffer);
      while (n >= 0) {
        received.append(new String(buffer, 0, n, StandardCharsets.UTF_8));
        n = socket.getInputStream().read(buffer);
      }
    } catch (SocketException e) {
      // A reset also ends the answer.
    }
    return received.toString();
  }

  /** The end of a stream, as the caller receives it. */
  public static class Streams {
    @Test
    public void endWithLastChunk() throws IOException {
      String received =
          answer(
              channel -> {
                channel.stream(EVENT);
                channel.endStream();
              });
      assertTrue(received.endsWith(LAST_CHUNK), received);
    }

    /**
     * A stream that is dropped before its first part is written must not get the last chunk, or the
     * caller would take it for complete.
     */
    @Test
    public void haveNoLastChunkIfDroppedBeforeFirstWrite() throws IOException {
      String received =
          answer(
              channel -> {
                channel.stream(EVENT);
                channel.drop();
              });
      assertFalse(received.endsWith(LAST_CHUNK), received);
    }
  }
}
