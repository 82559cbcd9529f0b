/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.tunnel;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import io.undertow.Undertow;
import io.undertow.util.Methods;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.ScriptedServer;
import org.larkkeel.http.upstream.ConnectFailure;
import org.larkkeel.http.upstream.ConnectionUse;
import org.larkkeel.http.upstream.Destination;
import org.larkkeel.http.upstream.InFlightRequest;
import org.larkkeel.http.upstream.ResponseCollector;
import org.larkkeel.http.upstream.ResponseTimeout;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.http.upstream.UpstreamClient;
import org.larkkeel.http.upstream.UpstreamClientSettings;
import org.larkkeel.http.upstream.UpstreamFailure;
import org.larkkeel.http.upstream.UpstreamRequest;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.ProbeResult;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of tunnels between two nodes, over sockets. */
public class TunnelTest {
  private static final long TIMEOUT_SECONDS = 10;
  private static final UpstreamName NAME = new UpstreamName("engine-1");

  /** The address of the asking node. */
  private static final InetAddress SELF = InetAddress.ofLiteral("127.0.0.5");

  /** The address by which the asking node knows the upstream, where nothing listens. */
  private static final UpstreamAddress UNREACHABLE = UpstreamAddress.parse("127.0.0.9:9");

  /** A node that offers tunnels, and a client that asks for them. */
  public abstract static class Fixture {
    final List<Undertow> servers = new ArrayList<>();
    final List<InetSocketAddress> peers = new ArrayList<>();
    final List<TunnelHandler> handlers = new ArrayList<>();
    HttpWorker worker;
    HttpWorker peerWorker;
    UpstreamClient client;
    boolean isPeer;
    UpstreamAddress target;
    ImmutableList<UpstreamAddress> siblings;

    /** Starts the client. */
    @BeforeMethod
    public void start() {
      isPeer = true;
      target = UNREACHABLE;
      siblings = ImmutableList.of();
      worker = new HttpWorker(1);
      peerWorker = new HttpWorker(1);
      client = new UpstreamClient(worker, UpstreamClientSettings.DEFAULT, System::nanoTime);
      client.setTunnelOpener(new PeerTunnelOpener(worker, SELF, () -> peers, System::nanoTime, 1));
    }

    /** Stops the client and the peers. */
    @AfterMethod(alwaysRun = true)
    public void stop() {
      client.close();
      servers.forEach(Undertow::stop);
      handlers.forEach(TunnelHandler::close);
      servers.clear();
      handlers.clear();
      peers.clear();
      worker.close();
      peerWorker.close();
    }

    /** Starts a peer. */
    TunnelHandler startPeer() {
      TunnelHandler handler = new TunnelHandler(peerWorker, new Gate());
      Undertow server =
          Undertow.builder()
              .setWorker(peerWorker.worker())
              .setByteBufferPool(peerWorker.buffers())
              .addHttpListener(0, "127.0.0.1", handler)
              .build();
      server.start();
      servers.add(server);
      handlers.add(handler);
      peers.add((InetSocketAddress) server.getListenerInfo().getFirst().getAddress());
      return handler;
    }

    /** Adds a peer that refuses connections. */
    void addDeadPeer() throws IOException {
      try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.ofLiteral("127.0.0.1"))) {
        peers.add((InetSocketAddress) closed.getLocalSocketAddress());
      }
    }

    private final class Gate implements TunnelGate {
      @Override
      public boolean isPeer(InetAddress host) {
        return isPeer && host.equals(SELF);
      }

      @Override
      public Optional<UpstreamAddress> address(UpstreamName upstream) {
        return Optional.of(target).filter(t -> upstream.equals(NAME));
      }

      @Override
      public ImmutableList<UpstreamAddress> siblings(UpstreamName upstream) {
        return siblings;
      }
    }

    InFlightRequest send(byte[] body, CompletableFuture<Object> outcome) {
      return client.send(
          new Destination.Tunnel(UNREACHABLE, NAME),
          new UpstreamRequest(Methods.POST, "/x", ImmutableListMultimap.of(), body),
          ResponseTimeout.total(TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)),
          ConnectionUse.REQUEST,
          new ResponseCollector(1 << 24, outcome::complete, outcome::complete));
    }

    Object exchange(byte[] body) throws Exception {
      CompletableFuture<Object> outcome = new CompletableFuture<>();
      send(body, outcome);
      return outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    static String body(Object outcome) {
      assertTrue(outcome instanceof ResponseCollector.Response, String.valueOf(outcome));
      return new String(((ResponseCollector.Response) outcome).body());
    }

    static UpstreamFailure failure(Object outcome) {
      assertTrue(outcome instanceof UpstreamFailure, String.valueOf(outcome));
      return (UpstreamFailure) outcome;
    }

    ProbeResult probe() throws Exception {
      CompletableFuture<ProbeResult> result = new CompletableFuture<>();
      client.probe(
          new Destination.Tunnel(UNREACHABLE, NAME), Duration.ofSeconds(2), result::complete);
      return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
      while (!condition.getAsBoolean()) {
        assertTrue(System.nanoTime() < end, "the condition was not met in time");
        Thread.sleep(5);
      }
    }
  }

  /** Requests through tunnels. */
  public static class Requests extends Fixture {
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
  public static class FailingPeers extends Fixture {
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

  /** Peers whose process ends while they carry an answer. */
  public static class KilledPeers extends Fixture {
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
          assertEquals(body(exchange("first".getBytes())), "whole");
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
  public static class AnswersWithoutLength extends Fixture {
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
        assertEquals(body(exchange(new byte[0])).length(), size);
        assertEquals(body(exchange(new byte[0])).length(), size);
      }
    }
  }

  /** Upstreams whose process ends while they write an answer. */
  public static class KilledUpstreams extends Fixture {
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
        UpstreamFailure failure = failure(exchange(new byte[0]));
        assertEquals(failure.cause(), FailureCause.CONNECTION_LOST, failure.detail());
      }
    }
  }

  /** Tunnels between nodes of which one is of a version that knows no frames. */
  public static class EarlierVersions extends Fixture {
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
  public static class Frames extends Fixture {
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
          assertEquals(body(exchange(new byte[0])), "whole");
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
          UpstreamFailure failure = failure(exchange(new byte[0]));
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
        UpstreamFailure failure = failure(exchange(new byte[0]));
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

  /** Requests for which no tunnel opens. */
  public static class Failures extends Fixture {
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
  public static class Activity extends Fixture {
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
