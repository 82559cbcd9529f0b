/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.tunnel;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.larkkeel.event.FailureCause;
import org.larkkeel.http.ScriptedServer;
import org.larkkeel.http.upstream.ConnectFailure;
import org.larkkeel.http.upstream.InFlightRequest;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.http.upstream.UpstreamFailure;
import org.larkkeel.relay.ProbeResult;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of tunnels between two nodes, over sockets. */
public class TunnelTest {
  /** Requests through tunnels. */
  public static class Requests extends TunnelFixture {
    @Test
    public void reachUpstreamAndReuseTunnel() throws Exception {
      startPeer();
      try (ScriptedServer server = new ScriptedServer((q, a) -> a.answer(200, "ok " + q.body()))) {
        target = new UpstreamAddress(server.address());
        assertEquals(body(exchange("a".getBytes())), "ok a");
        assertEquals(body(exchange("b".getBytes())), "ok b");
        ScriptedServer.Request first = server.next();
        assertEquals(first.target(), "/x");
        assertEquals(server.next().body(), "b");
      }
    }

    @Test
    public void carryLargeBodiesBothWays() throws Exception {
      startPeer();
      byte[] large = "x".repeat(3 << 20).getBytes();
      try (ScriptedServer server = new ScriptedServer((q, a) -> a.answer(200, q.body()))) {
        target = new UpstreamAddress(server.address());
        assertEquals(body(exchange(large)).length(), large.length);
      }
    }

    /** An answer that breaks off must not look complete behind a tunnel. */
    @Test
    public void failWhenUpstreamResetsItsAnswer() throws Exception {
      startPeer();
      try (ScriptedServer server =
          new ScriptedServer(
              (q, a) -> {
                a.raw("HTTP/1.1 200 X\r\n\r\npart");
                Thread.sleep(50);
                a.socket().setSoLinger(true, 0);
                a.socket().close();
              })) {
        target = new UpstreamAddress(server.address());
        UpstreamFailure failure = failure(exchange(new byte[0]));
        assertEquals(failure.cause(), FailureCause.CONNECTION_LOST, failure.detail());
      }
    }

    /** An upstream must learn of a cancelled request through the tunnel. */
    @Test
    public void resetUpstreamWhenTheyAreAborted() throws Exception {
      startPeer();
      CountDownLatch ended = new CountDownLatch(1);
      try (ScriptedServer server =
          new ScriptedServer(
              (q, a) -> {
                try {
                  while (a.socket().getInputStream().read() >= 0) {
                    // The client sends nothing more.
                  }
                } catch (IOException e) {
                  // The connection was reset.
                }
                ended.countDown();
              })) {
        target = new UpstreamAddress(server.address());
        CompletableFuture<Object> outcome = new CompletableFuture<>();
        InFlightRequest sent = send(new byte[1], outcome);
        server.next();
        sent.abort();
        assertTrue(ended.await(500, TimeUnit.MILLISECONDS), "the upstream learns of the abort");
      }
    }

    @Test
    public void useAnotherPeerIfOneIsDead() throws Exception {
      addDeadPeer();
      addDeadPeer();
      startPeer();
      try (ScriptedServer server = new ScriptedServer((q, a) -> a.answer(200, "ok"))) {
        target = new UpstreamAddress(server.address());
        assertEquals(body(exchange(new byte[0])), "ok");
      }
    }
  }

  /** Peers that fail while they have tunnels. */
  public static class FailingPeers extends TunnelFixture {
    private static final String REFUSAL = "HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\n";

    /** The ends of a peer's answer that opens no tunnel. */
    @DataProvider
    static Object[][] refusals() {
      return new Object[][] {
        {REFUSAL + "full"}, {REFUSAL}, {"HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\nfull"}
      };
    }

    /** Guards against an I/O thread that spins on the input of a tunnel that was not used. */
    @Test(dataProvider = "refusals")
    public void leaveTheThreadIdle(String refusal) throws Exception {
      try (ScriptedServer peer = new ScriptedServer((q, a) -> a.raw(refusal).socket().close())) {
        peers.add(peer.address());
        assertEquals(probe(), ProbeResult.SILENT);
        long thread = worker.worker().getIoThread().threadId();
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long before = threads.getThreadCpuTime(thread);
        Thread.sleep(500);
        long used = threads.getThreadCpuTime(thread) - before;
        assertTrue(used < TimeUnit.MILLISECONDS.toNanos(50), used + " ns of processor time");
      }
    }

    /** Requests must not be written to the idle tunnels of a peer that no longer answers. */
    @Test
    public void loseTheirIdleTunnels() throws Exception {
      startPeer();
      try (ScriptedServer server = new ScriptedServer((q, a) -> a.answer(200, "ok"))) {
        target = new UpstreamAddress(server.address());
        assertEquals(body(exchange(new byte[0])), "ok");
        CountDownLatch stopped = new CountDownLatch(1);
        peerWorker
            .worker()
            .getIoThread()
            .execute(
                () -> {
                  try {
                    stopped.await();
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                });
        assertEquals(probe(), ProbeResult.SILENT);
        UpstreamFailure failure = failure(exchange(new byte[0]));
        stopped.countDown();
        assertEquals(failure.connect(), ConnectFailure.TIMED_OUT, failure.detail());
      }
    }
  }

  /** Requests for which no tunnel opens. */
  public static class Failures extends TunnelFixture {
    /** A node that has lost its own paths must not report that an upstream has ended. */
    @Test
    public void areNoProofIfPeerReachesNoOtherUpstream() throws Exception {
      startPeer();
      UpstreamFailure failure = failure(exchange(new byte[0]));
      assertEquals(failure.connect(), ConnectFailure.TIMED_OUT, failure.detail());
      assertEquals(probe(), ProbeResult.SILENT);
    }

    @Test
    public void areProofIfPeerReachesAnotherUpstream() throws Exception {
      startPeer();
      try (ScriptedServer sibling = new ScriptedServer((q, a) -> a.answer(200, "ok"))) {
        siblings = ImmutableList.of(new UpstreamAddress(sibling.address()));
        assertEquals(probe(), ProbeResult.REFUSES);
        assertEquals(failure(exchange(new byte[0])).connect(), ConnectFailure.REFUSED);
      }
    }

    @Test
    public void areNotSentWithoutPeers() throws Exception {
      UpstreamFailure failure = failure(exchange(new byte[0]));
      assertEquals(failure.connect(), ConnectFailure.TIMED_OUT, failure.detail());
    }

    /** Hosts that are no nodes of the cluster must not reach upstreams through a node. */
    @Test
    public void followFromForeignHost() throws Exception {
      startPeer();
      isPeer = false;
      try (ScriptedServer server = new ScriptedServer((q, a) -> a.answer(200, "ok"))) {
        target = new UpstreamAddress(server.address());
        assertEquals(probe(), ProbeResult.SILENT);
        assertEquals(server.pendingRequests(), 0);
      }
    }

    @Test
    public void followFromStoppingPeer() throws Exception {
      TunnelHandler handler = startPeer();
      try (ScriptedServer server = new ScriptedServer((q, a) -> a.answer(200, "ok"))) {
        target = new UpstreamAddress(server.address());
        handler.refuseNew();
        assertEquals(probe(), ProbeResult.SILENT);
      }
    }
  }

  /** What a stopping node waits for. */
  public static class Activity extends TunnelFixture {
    @Test
    public void lastsUntilAnswerHasPassed() throws Exception {
      TunnelHandler handler = startPeer();
      Semaphore allowed = new Semaphore(0);
      try (ScriptedServer server =
          new ScriptedServer(
              (q, a) -> {
                allowed.acquire();
                a.answer(200, "ok");
              })) {
        target = new UpstreamAddress(server.address());
        CompletableFuture<Object> outcome = new CompletableFuture<>();
        send(new byte[1], outcome);
        server.next();
        Thread.sleep(1_700);
        assertEquals(handler.activeTunnels(), 1);
        allowed.release();
        assertEquals(body(outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)), "ok");
        await(() -> handler.activeTunnels() == 0);
      }
    }
  }
}
