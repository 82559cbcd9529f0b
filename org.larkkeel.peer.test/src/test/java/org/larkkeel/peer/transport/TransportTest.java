/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.Revision;
import org.larkkeel.peer.gen.Batch;
import org.larkkeel.peer.gen.ConfigPage;
import org.larkkeel.peer.gen.PeerService;
import org.larkkeel.peer.gen.WireClaimAnswer;
import org.larkkeel.peer.gen.WireClaimReply;
import org.larkkeel.peer.gen.WireNode;
import org.larkkeel.peer.gen.WireRecordAnswer;
import org.larkkeel.peer.gen.WireRunClaim;
import org.larkkeel.peer.gen.WireRunRecord;
import org.larkkeel.peer.membership.LoadRecord;
import org.larkkeel.peer.membership.Message;
import org.larkkeel.peer.membership.NodeAddress;
import org.larkkeel.peer.membership.NodeId;
import org.testng.annotations.Test;

/**
 * Tests of calls and datagrams on the loopback address, with malformed input, broken connections
 * and untrusted peers.
 */
public class TransportTest {
  private static final long TIMEOUT_SECONDS = 30;
  private static final char[] PASSWORD = "changeit".toCharArray();

  /**
   * Replies to a batch with its sender, and to a pull with a page of as many bytes as the revision.
   */
  private static final class Echo implements PeerService.Iface {
    @Override
    public Batch exchange(Batch batch) {
      return new Batch(batch.getSender());
    }

    @Override
    public ConfigPage pullConfig(long fromRevision) {
      return new ConfigPage(
          fromRevision, ByteBuffer.wrap(new byte[Math.toIntExact(fromRevision)]), false);
    }

    @Override
    public WireClaimReply claimRun(WireRunClaim claim) {
      return new WireClaimReply(WireClaimAnswer.NOT_OWNER);
    }

    @Override
    public WireRecordAnswer recordRun(WireRunRecord end) {
      return WireRecordAnswer.NOT_OWNER;
    }
  }

  private static TransportSettings settings() {
    return new TransportSettings(
        Duration.ofSeconds(5), Duration.ofSeconds(5), Duration.ofSeconds(30), 2, 64, 4_096, 65_536);
  }

  private static InetSocketAddress loopback() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }

  private static NodeAddress addressOf(PeerServer server) {
    return NodeAddress.parse("127.0.0.1:" + server.port());
  }

  private static PeerServer serve(Optional<SSLContext> ssl) throws IOException {
    return serve(ssl, NameCheck.OFF);
  }

  private static PeerServer serve(Optional<SSLContext> ssl, NameCheck nameCheck)
      throws IOException {
    return PeerServer.open(settings(), loopback(), ssl, nameCheck, new Echo());
  }

  private static void assertAnswers(PeerClient client, PeerServer server) throws Exception {
    Batch batch = new Batch(new WireNode("host-1", 7));
    Batch reply = client.exchange(addressOf(server), batch).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertEquals(reply.getSender(), batch.getSender());
  }

  private static byte[] frame(int length, byte[] body) {
    return ByteBuffer.allocate(4 + body.length).putInt(length).put(body).array();
  }

  /** Calls over TCP. */
  public static class Calls {
    @Test
    public void oneConnectionCarriesManyTimesTheFrameBound() throws Exception {
      try (PeerServer server = serve(Optional.empty());
          PeerClient client = new PeerClient(settings(), Optional.empty(), NameCheck.OFF)) {
        for (int i = 0; i < 2_000; i++) {
          assertAnswers(client, server);
        }
      }
    }

    @Test
    public void malformedFramesEndOnlyTheirConnection() throws Exception {
      Random random = new Random(5);
      try (PeerServer server = serve(Optional.empty());
          PeerClient client = new PeerClient(settings(), Optional.empty(), NameCheck.OFF)) {
        for (int i = 0; i < 200; i++) {
          byte[] noise = new byte[random.nextInt(200)];
          random.nextBytes(noise);
          int length =
              switch (i % 4) {
                case 0 -> Integer.MAX_VALUE;
                case 1 -> -1;
                case 2 -> noise.length + 1_000;
                default -> noise.length;
              };
          try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.getOutputStream().write(frame(length, noise));
            socket.shutdownOutput();
            socket.getInputStream().readAllBytes();
          } catch (IOException e) {
            // The server may reset the connection; the test only requires that the next call works.
          }
        }
        assertAnswers(client, server);
      }
    }

    @Test
    public void oversizedAnswerFailsCallOnly() throws Exception {
      try (PeerServer server = serve(Optional.empty());
          PeerClient client = new PeerClient(settings(), Optional.empty(), NameCheck.OFF)) {
        var large = client.pullConfig(addressOf(server), 100_000);
        assertThrows(ExecutionException.class, () -> large.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertAnswers(client, server);
      }
    }

    @Test
    public void brokenIdleConnectionIsReplaced() throws Exception {
      PeerServer first = serve(Optional.empty());
      try (PeerClient client = new PeerClient(settings(), Optional.empty(), NameCheck.OFF)) {
        assertAnswers(client, first);
        first.close();
        InetSocketAddress same =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), first.port());
        try (PeerServer second =
            PeerServer.open(settings(), same, Optional.empty(), NameCheck.OFF, new Echo())) {
          assertAnswers(client, second);
        }
      }
    }

    /**
     * The address can be bound again once a server is closed, although its acceptor thread was
     * waiting. Without waiting for that thread, the operating system may still hold the listener.
     */
    @Test
    public void addressIsFreeOnceClosed() throws Exception {
      try (PeerServer first = serve(Optional.empty())) {
        InetSocketAddress same =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), first.port());
        first.close();
        for (int i = 0; i < 2_000; i++) {
          PeerServer.open(settings(), same, Optional.empty(), NameCheck.OFF, new Echo()).close();
        }
      }
    }

    @Test
    public void unresponsivePeerTimesOut() throws Exception {
      TransportSettings shortTimeouts =
          new TransportSettings(
              Duration.ofMillis(200),
              Duration.ofMillis(200),
              Duration.ofSeconds(30),
              2,
              64,
              4_096,
              65_536);
      try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
          PeerClient client = new PeerClient(shortTimeouts, Optional.empty(), NameCheck.OFF)) {
        NodeAddress address = NodeAddress.parse("127.0.0.1:" + unresponsive.getLocalPort());
        var call = client.exchange(address, new Batch(new WireNode("host-1", 7)));
        assertThrows(ExecutionException.class, () -> call.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
      }
    }
  }

  /** Mutual authentication over TLS. */
  public static class Tls {
    private static KeyStore store(String name) throws GeneralSecurityException, IOException {
      KeyStore store = KeyStore.getInstance("PKCS12");
      try (InputStream in = TransportTest.class.getResourceAsStream(name)) {
        store.load(in, PASSWORD);
      }
      return store;
    }

    private static Optional<SSLContext> context(String keys) throws Exception {
      KeyManagerFactory own =
          KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
      own.init(store(keys), PASSWORD);
      TrustManagerFactory trusted =
          TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
      trusted.init(store("trusted.p12"));
      SSLContext context = SSLContext.getInstance("TLS");
      context.init(own.getKeyManagers(), trusted.getTrustManagers(), null);
      return Optional.of(context);
    }

    @Test
    public void nodesWithTrustedCertificatesExchangeBatches() throws Exception {
      try (PeerServer server = serve(context("node.p12"));
          PeerClient client = new PeerClient(settings(), context("node.p12"), NameCheck.OFF)) {
        assertAnswers(client, server);
      }
    }

    @Test
    public void untrustedPeersAreRefusedOnBothSides() throws Exception {
      try (PeerServer server = serve(context("node.p12"));
          PeerServer untrustedServer = serve(context("stranger.p12"));
          PeerClient untrustedClient =
              new PeerClient(settings(), context("stranger.p12"), NameCheck.OFF);
          PeerClient plain = new PeerClient(settings(), Optional.empty(), NameCheck.OFF);
          PeerClient client = new PeerClient(settings(), context("node.p12"), NameCheck.OFF)) {
        assertThrows(ExecutionException.class, () -> assertAnswers(untrustedClient, server));
        assertThrows(ExecutionException.class, () -> assertAnswers(plain, server));
        assertThrows(ExecutionException.class, () -> assertAnswers(client, untrustedServer));
      }
    }
  }

  /**
   * The node name that a peer sends is checked against its certificate, which contains the name
   * "node".
   */
  public static class Names {
    private static String exchange(NameCheck ofServer, NameCheck ofClient, String name)
        throws Exception {
      try (PeerServer server = serve(Tls.context("node.p12"), ofServer);
          PeerClient client = new PeerClient(settings(), Tls.context("node.p12"), ofClient)) {
        Batch batch = new Batch(new WireNode(name, 7));
        var reply = client.exchange(addressOf(server), batch);
        return reply.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).getSender().getHost();
      }
    }

    private static void assertRefused(NameCheck ofServer, NameCheck ofClient) {
      ExecutionException failure =
          expectThrows(ExecutionException.class, () -> exchange(ofServer, ofClient, "host-1"));
      String message = failure.getCause().getMessage();
      assertTrue(message.contains("host-1 but the certificate names [node]"), message);
    }

    @Test
    public void nodeMayClaimItsOwnName() throws Exception {
      assertEquals(exchange(NameCheck.REQUIRED, NameCheck.REQUIRED, "node"), "node");
    }

    @Test
    public void callerClaimingNameOfAnotherNodeIsRefused() throws Exception {
      assertEquals(exchange(NameCheck.OFF, NameCheck.OFF, "host-1"), "host-1");
      assertRefused(NameCheck.REQUIRED, NameCheck.OFF);
    }

    @Test
    public void replyUnderNameOfAnotherNodeIsRefused() {
      assertRefused(NameCheck.OFF, NameCheck.REQUIRED);
    }
  }

  /** The codec of datagrams. */
  public static class Datagrams {
    private static final DatagramKey OLD = key(1, "an old secret key");
    private static final DatagramKey NEW = key(2, "a newer secret key");

    private static DatagramKey key(int id, String secret) {
      return new DatagramKey(id, secret.getBytes(StandardCharsets.UTF_8));
    }

    private static Message message() {
      NodeId id = new NodeId(new HostName("host-1"), new Incarnation(3));
      LoadRecord load = new LoadRecord("u1", 4, new byte[] {1, 2});
      return new Message.Ping(
          new Message.Header(id, new Revision(5), List.of(), List.of(load)), 6, id);
    }

    @Test
    public void roundTripAcrossKeyChange() {
      byte[] data = new DatagramCodec(List.of(OLD)).encode(message());
      Optional<Message> read = new DatagramCodec(List.of(NEW, OLD)).decode(data, data.length);
      assertEquals(read, Optional.of(message()));
    }

    @Test
    public void everyChangedByteIsRefused() {
      DatagramCodec codec = new DatagramCodec(List.of(OLD));
      byte[] data = codec.encode(message());
      for (int i = 0; i < data.length; i++) {
        byte[] changed = data.clone();
        changed[i] ^= 1;
        assertEquals(codec.decode(changed, changed.length), Optional.empty(), "byte " + i);
        assertEquals(codec.decode(data, i), Optional.empty(), "truncated to length " + i);
      }
      assertEquals(new DatagramCodec(List.of(NEW)).decode(data, data.length), Optional.empty());
    }

    @Test
    public void malformedDatagramsAreDropped() {
      DatagramCodec codec = new DatagramCodec(List.of());
      Random random = new Random(9);
      byte[] valid = codec.encode(message());
      int refused = 0;
      for (int i = 0; i < 20_000; i++) {
        byte[] data = valid.clone();
        data[1 + random.nextInt(data.length - 1)] = (byte) random.nextInt();
        data[1 + random.nextInt(data.length - 1)] = (byte) random.nextInt();
        if (codec.decode(data, data.length).isEmpty()) {
          refused++;
        }
      }
      assertTrue(refused > 1_000, "datagrams refused: " + refused);
      assertNotEquals(valid[0], (byte) 1);
    }
  }
}
