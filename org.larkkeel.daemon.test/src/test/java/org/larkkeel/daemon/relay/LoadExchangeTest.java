/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.larkkeel.daemon.settings.LogLevel;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.relay.RelayLoop;
import org.larkkeel.lib.Closer;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.quota.QuotaTolerance;
import org.larkkeel.relay.RelayRouter;
import org.larkkeel.relay.RelaySettings;
import org.larkkeel.time.BootClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of the messages between nodes over sockets. */
public class LoadExchangeTest {
  private static final DataCentreName DATA_CENTRE = new DataCentreName("dc-1");

  /** An exchange on a free port. */
  public abstract static class Fixture {
    private Closer closer;
    HttpWorker worker;
    InetSocketAddress address;
    LoadExchange exchange;

    /** Starts an exchange. */
    @BeforeMethod
    public void start() throws IOException {
      closer = new Closer();
      worker = closer.add(new HttpWorker(1));
      address = freeAddress();
      RelayRouter router =
          new RelayRouter(
              new RelaySettings(DATA_CENTRE, 0.2, 20, 1, 1, 512, 1, 7, QuotaTolerance.NONE));
      RelayLoop loop =
          closer.add(new RelayLoop(worker.worker().getIoThread(), router, BootClock.SYSTEM));
      exchange = closer.add(new LoadExchange(settings(), worker.worker(), loop, fact -> {}));
    }

    /** Stops all parts. */
    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
      closer.close();
    }

    private static InetSocketAddress freeAddress() throws IOException {
      try (DatagramSocket free = new DatagramSocket(0, InetAddress.ofLiteral("127.0.0.1"))) {
        return new InetSocketAddress(free.getLocalAddress(), free.getLocalPort());
      }
    }

    private RelayNodeSettings settings() {
      return new RelayNodeSettings(
          new HostName("node-1"),
          DATA_CENTRE,
          address,
          address,
          address,
          address,
          ImmutableList.of(),
          URI.create("http://127.0.0.1:1"),
          Duration.ofSeconds(1),
          Duration.ofSeconds(15),
          new RelaySettings(DATA_CENTRE, 0.2, 20, 1, 1, 512, 1, 7, QuotaTolerance.NONE),
          0,
          20,
          Duration.ZERO,
          Duration.ofSeconds(5),
          LogLevel.INFO);
    }
  }

  /** Messages that arrive faster than this node handles them. */
  public static class Overload extends Fixture {
    private static final long HANDLING_MILLIS = 2;
    private static final long MESSAGES_PER_MILLI = 2;
    private static final long FLOOD_MILLIS = 4_000;

    /** The time within which other work of the thread must have its turn. */
    private static final long MAX_WAIT_MILLIS = 1_000;

    private static void pause() {
      try {
        Thread.sleep(HANDLING_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private void flood(CountDownLatch begun) {
      PeerMessage message =
          PeerMessage.of(
              PeerMessage.Kind.PRESENCE,
              new PeerMessage.Sender(
                  new HostName("node-2"),
                  DATA_CENTRE,
                  NodeState.STEADY,
                  FeedChanges.NONE,
                  ImmutableList.of()));
      byte[] bytes = PeerMessageCodec.toBytes(message);
      try (DatagramSocket socket = new DatagramSocket()) {
        for (int i = 0; i < FLOOD_MILLIS; i++) {
          for (int k = 0; k < MESSAGES_PER_MILLI; k++) {
            socket.send(new DatagramPacket(bytes, bytes.length, address));
          }
          begun.countDown();
          Thread.sleep(1);
        }
      } catch (IOException | InterruptedException e) {
        // The test fails if the flood ends early, as nothing is held up then.
      }
    }

    /** Guards against a handler that reads messages for as long as any arrive. */
    @Test
    public void leavesTurnsToOtherWorkOfTheThread() throws Exception {
      exchange.storeVersions(() -> FeedChanges.NONE, versions -> pause());
      CountDownLatch begun = new CountDownLatch(100);
      Thread flood = Thread.ofPlatform().start(() -> flood(begun));
      assertTrue(begun.await(FLOOD_MILLIS, TimeUnit.MILLISECONDS));
      CountDownLatch done = new CountDownLatch(1);
      worker.worker().getIoThread().execute(done::countDown);
      final boolean inTime = done.await(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
      assertTrue(flood.isAlive(), "the flood has ended");
      flood.interrupt();
      flood.join();
      assertTrue(inTime, "other work waited for more than " + MAX_WAIT_MILLIS + " ms");
    }
  }

  /** A node that was held up for longer than its peers wait for its reports. */
  public static class Stall extends Fixture {
    private static final Duration STEADY = Duration.ofSeconds(2);
    private static final int MAX_MESSAGES = 100;

    private static NodeState nextState(DatagramSocket peer) throws IOException {
      DatagramPacket packet = new DatagramPacket(new byte[PeerMessageCodec.MAX_BYTES], 0, 60_000);
      peer.receive(packet);
      return PeerMessageCodec.fromBytes(packet.getData(), packet.getLength())
          .orElseThrow()
          .sender()
          .state();
    }

    private static void awaitState(DatagramSocket peer, NodeState state) throws IOException {
      for (int i = 0; i < MAX_MESSAGES; i++) {
        if (nextState(peer) == state) {
          return;
        }
      }
      throw new AssertionError("no message says " + state);
    }

    /** Guards against a coordinator that goes on with loads and requests from before the stall. */
    @Test
    public void makesTheNodeNewlyStarted() throws Exception {
      try (DatagramSocket peer = new DatagramSocket(0, InetAddress.ofLiteral("127.0.0.1"))) {
        peer.setSoTimeout((int) STEADY.multipliedBy(2).toMillis());
        exchange.addPeer(new InetSocketAddress(peer.getLocalAddress(), peer.getLocalPort()));
        awaitState(peer, NodeState.STEADY);
        CountDownLatch held = new CountDownLatch(1);
        worker
            .worker()
            .getIoThread()
            .execute(
                () -> {
                  try {
                    Thread.sleep(LoadExchange.MAX_GAP.plus(STEADY));
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                  held.countDown();
                });
        held.await();
        awaitState(peer, NodeState.YOUNG);
      }
    }
  }
}
