/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.tunnel;

import static org.testng.Assert.assertEquals;

import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;
import org.larkkeel.http.ScriptedServer;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.http.upstream.UpstreamFailure;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of answers whose peer or upstream ends while it carries them, over sockets. */
public class KilledCarrierTest {
  /** Peers whose process ends while they carry an answer. */
  public static class KilledPeers extends TunnelFixture {
    /** What of an answer has passed when the peer ends. */
    private enum Part {
      HEAD_WITHOUT_LENGTH("\r\n"),
      BYTE_WITHOUT_LENGTH("\r\nx"),
      EVENT_WITHOUT_LENGTH("\r\nid: 1\ndata: piece-1\n\n"),
      MEGABYTE_WITHOUT_LENGTH("\r\n" + "x".repeat(1 << 20)),
      LESS_THAN_LENGTH("Content-Length: 9\r\n\r\npart"),
      CHUNK("Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");

      final String bytes;

      Part(String bytes) {
        this.bytes = bytes;
      }
    }

    @DataProvider
    static Object[][] parts() {
      return Arrays.stream(Part.values()).map(p -> new Object[] {p}).toArray(Object[][]::new);
    }

    /** Guards against truncated answers that look complete after the carrier of a tunnel ended. */
    @Test(dataProvider = "parts")
    public void leaveNoAnswerThatLooksComplete(Part part) throws Exception {
      assertLost(part, false);
    }

    /** The same, on a tunnel that has carried another answer. */
    @Test(dataProvider = "parts")
    public void leaveNoAnswerThatLooksCompleteOnUsedTunnel(Part part) throws Exception {
      assertLost(part, true);
    }

    private void assertLost(Part part, boolean used) throws Exception {
      startPeer();
      CountDownLatch written = new CountDownLatch(1);
      CountDownLatch done = new CountDownLatch(1);
      try (CarrierProxy proxy = new CarrierProxy(SELF, peers.removeFirst());
          ScriptedServer server =
              new ScriptedServer(
                  (q, a) -> {
                    if (q.body().equals("first")) {
                      a.answer(200, "whole");
                    } else {
                      a.raw("HTTP/1.1 200 X\r\n" + part.bytes);
                      written.countDown();
                      done.await();
                    }
                  })) {
        peers.add(proxy.address());
        target = new UpstreamAddress(server.address());
        if (used) {
          assertEquals(body(exchangeOnceSent("first".getBytes())), "whole");
        }
        CompletableFuture<Object> outcome = new CompletableFuture<>();
        send(new byte[0], outcome);
        written.await();
        // The node must have read all of the part, else the end is a reset.
        Thread.sleep(200);
        proxy.kill();
        UpstreamFailure failure = failure(outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        done.countDown();
        assertEquals(failure.cause(), FailureCause.CONNECTION_LOST, failure.detail());
        assertEquals(failure.exposure(), Exposure.MAY_HAVE_RUN, failure.detail());
      }
    }
  }

  /** Answers that end with the connection of the upstream. */
  public static class AnswersWithoutLength extends TunnelFixture {
    /** The sizes of bodies: none, one byte, one frame, several buffers, several turns. */
    @DataProvider
    static Object[][] sizes() {
      return new Object[][] {{0}, {1}, {16 << 10}, {(16 << 10) + 1}, {100_000}, {4 << 20}};
    }

    @Test(dataProvider = "sizes")
    public void passWhole(int size) throws Exception {
      startPeer();
      String text = "x".repeat(size);
      try (ScriptedServer server =
          new ScriptedServer(
              (q, a) -> {
                a.raw("HTTP/1.1 200 X\r\n\r\n" + text);
                a.socket().close();
              })) {
        target = new UpstreamAddress(server.address());
        assertEquals(body(exchangeOnceSent(new byte[0])).length(), size);
        assertEquals(body(exchangeOnceSent(new byte[0])).length(), size);
      }
    }
  }

  /** Upstreams whose process ends while they write an answer. */
  public static class KilledUpstreams extends TunnelFixture {
    /**
     * Guards against truncated answers that look complete if the peer reaches no other upstream.
     */
    @Test
    public void leaveNoAnswerThatLooksComplete() throws Exception {
      startPeer();
      CompletableFuture<ScriptedServer> self = new CompletableFuture<>();
      try (ScriptedServer server =
          new ScriptedServer(
              (q, a) -> {
                a.raw("HTTP/1.1 200 X\r\n\r\npart");
                Thread.sleep(100);
                a.socket().close();
                self.get().close();
              })) {
        self.complete(server);
        target = new UpstreamAddress(server.address());
        UpstreamFailure failure = failure(exchangeOnceSent(new byte[0]));
        assertEquals(failure.cause(), FailureCause.CONNECTION_LOST, failure.detail());
      }
    }
  }
}
