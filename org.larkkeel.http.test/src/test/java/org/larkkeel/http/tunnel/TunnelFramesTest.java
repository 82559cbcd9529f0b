/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.tunnel;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.larkkeel.event.FailureCause;
import org.larkkeel.http.ScriptedServer;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.http.upstream.UpstreamFailure;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the frames of tunnels, and of nodes that know none, over sockets. */
public class TunnelFramesTest {
  /** Tunnels between nodes of which one is of a version that knows no frames. */
  public static class EarlierVersions extends TunnelFixture {
    private static final String OPEN = "HTTP/1.1 204 No Content\r\n\r\n";

    private ScriptedServer earlierPeer(ScriptedServer.Script upstream) throws IOException {
      ScriptedServer peer =
          new ScriptedServer(
              (q, a) -> {
                if (q.method().equals("CONNECT")) {
                  a.raw(OPEN);
                } else {
                  upstream.serve(q, a);
                }
              });
      peers.add(peer.address());
      return peer;
    }

    @Test
    public void passAnswersWithLength() throws Exception {
      try (ScriptedServer peer = earlierPeer((q, a) -> a.answer(200, "ok " + q.body()))) {
        assertEquals(body(exchange("a".getBytes())), "ok a");
        assertEquals(body(exchange("b".getBytes())), "ok b");
        assertEquals(peer.next().method(), "CONNECT");
      }
    }

    /** Guards against truncated answers that look complete: such a peer marks no end. */
    @Test
    public void loseAnswersWithoutLength() throws Exception {
      try (ScriptedServer peer =
          earlierPeer(
              (q, a) -> {
                a.raw("HTTP/1.1 200 X\r\n\r\npart");
                a.socket().close();
              })) {
        UpstreamFailure failure = failure(exchange(new byte[0]));
        assertEquals(failure.cause(), FailureCause.CONNECTION_LOST, failure.detail());
        assertEquals(peer.next().method(), "CONNECT");
      }
    }

    @Test
    public void getBytesAsTheyAreIfTheyAskForNoFrames() throws Exception {
      startPeer();
      try (ScriptedServer server = new ScriptedServer((q, a) -> a.answer(200, "ok"));
          Socket node = new Socket()) {
        target = new UpstreamAddress(server.address());
        node.bind(new InetSocketAddress(SELF, 0));
        node.connect(peers.getFirst());
        node.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        String connect = "CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\nLarkkeel-Upstream: engine-1\r\n\r\n";
        node.getOutputStream().write(connect.getBytes());
        String head = readHead(node);
        assertTrue(head.startsWith("HTTP/1.1 204"), head);
        assertFalse(head.toLowerCase(Locale.ROOT).contains("larkkeel-frames"), head);
        node.getOutputStream().write("GET /x HTTP/1.1\r\nHost: a\r\n\r\n".getBytes());
        assertTrue(readHead(node).startsWith("HTTP/1.1 200"));
        assertEquals(new String(node.getInputStream().readNBytes(2)), "ok");
      }
    }

    private static String readHead(Socket socket) throws IOException {
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int b = socket.getInputStream().read();
        assertTrue(b >= 0, head.toString());
        head.append((char) b);
      }
      return head.toString();
    }
  }

  /** What a peer may send in place of the frames that are expected. */
  public static class Frames extends TunnelFixture {
    private static final String OPEN = "HTTP/1.1 204 No Content\r\nLarkkeel-Frames: 1\r\n\r\n";
    private static final String END = frame("");

    private static String frame(String bytes) {
      return length(bytes.length()) + bytes;
    }

    private static String length(int length) {
      return new String(ByteBuffer.allocate(4).putInt(length).array(), StandardCharsets.ISO_8859_1);
    }

    /** Answers each request with bytes that are written one by one or together. */
    private ScriptedServer peer(String open, String answer, boolean byteByByte) throws IOException {
      ScriptedServer peer =
          new ScriptedServer(
              (q, a) -> {
                byte[] bytes =
                    (q.method().equals("CONNECT") ? open : answer)
                        .getBytes(StandardCharsets.ISO_8859_1);
                for (int i = 0; byteByByte && i < bytes.length; i++) {
                  a.socket().getOutputStream().write(bytes[i]);
                  Thread.sleep(1);
                }
                if (!byteByByte) {
                  a.socket().getOutputStream().write(bytes);
                }
                if (!q.method().equals("CONNECT")) {
                  a.socket().close();
                }
              });
      peers.add(peer.address());
      return peer;
    }

    @DataProvider
    static Object[][] wholeAnswers() {
      String head = "HTTP/1.1 200 X\r\n\r\n";
      return new Object[][] {
        {frame(head + "whole") + END},
        {frame(head) + frame("wh") + frame("ole") + END},
        {frame("HTTP/1.1 20") + frame("0 X\r\n\r") + frame("\nwhole") + END},
      };
    }

    @Test(dataProvider = "wholeAnswers")
    public void mayBeSplitAnywhere(String answer) throws Exception {
      for (boolean byteByByte : new boolean[] {true, false}) {
        peers.clear();
        try (ScriptedServer peer = peer(OPEN, answer, byteByByte)) {
          assertEquals(body(exchangeOnceSent(new byte[0])), "whole");
          assertEquals(peer.next().method(), "CONNECT");
        }
      }
    }

    /** Each prefix of a whole answer ends early, whichever byte is its last. */
    @Test
    public void areIncompleteAfterEachPrefix() throws Exception {
      String answer = frame("HTTP/1.1 200 X\r\n\r\n") + frame("whole") + END;
      for (int i = 1; i < answer.length(); i++) {
        peers.clear();
        try (ScriptedServer peer = peer(OPEN, answer.substring(0, i), false)) {
          UpstreamFailure failure = failure(exchangeOnceSent(new byte[0]));
          assertEquals(failure.cause(), FailureCause.CONNECTION_LOST, i + failure.detail());
          assertEquals(peer.next().method(), "CONNECT");
        }
      }
    }

    @DataProvider
    static Object[][] invalidFrames() {
      return new Object[][] {{length(-1)}, {length((1 << 20) + 1)}, {"HTTP/1.1"}};
    }

    @Test(dataProvider = "invalidFrames")
    public void areInvalidIfNegativeOrTooLong(String bytes) throws Exception {
      try (ScriptedServer peer = peer(OPEN, bytes + "x".repeat(100), false)) {
        UpstreamFailure failure = failure(exchangeOnceSent(new byte[0]));
        assertEquals(failure.cause(), FailureCause.CONNECTION_LOST, failure.detail());
        assertEquals(peer.next().method(), "CONNECT");
      }
    }

    /** An upstream that closes at once is marked in the segment of the peer's answer. */
    @Test
    public void mayFollowTheHeadAtOnce() throws Exception {
      try (ScriptedServer peer = peer(OPEN + END, frame("no answer"), false)) {
        assertEquals(failure(exchange(new byte[0])).cause(), FailureCause.CONNECTION_LOST);
        assertEquals(peer.next().method(), "CONNECT");
      }
    }
  }
}
