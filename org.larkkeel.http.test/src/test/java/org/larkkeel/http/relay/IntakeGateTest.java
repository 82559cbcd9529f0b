/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.Problem;
import org.larkkeel.http.caller.CallerSettings;
import org.larkkeel.http.request.RecordedAnswer;
import org.larkkeel.http.upstream.UpstreamClient;
import org.larkkeel.http.upstream.UpstreamClientSettings;
import org.larkkeel.lib.Closer;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.quota.QuotaTolerance;
import org.larkkeel.relay.RelayRouter;
import org.larkkeel.relay.RelaySettings;
import org.larkkeel.time.BootClock;
import org.testng.annotations.Test;
import org.xnio.XnioIoThread;

/**
 * Guards against a failure in which a node reads more requests than it can serve while a load
 * balancer hands it most new connections.
 */
public class IntakeGateTest {
  private static final long LATE = IntakeGate.LATE_NANOS + 1;

  /** The share of connections that are closed. */
  public static class Share {
    private static IntakeGate gate() {
      return new IntakeGate(new SplittableRandom(1));
    }

    private static int admitted(IntakeGate gate) {
      int admitted = 0;
      for (int i = 0; i < 1_000; i++) {
        admitted += gate.admits() ? 1 : 0;
      }
      return admitted;
    }

    @Test
    public void isZeroAfterSingleLateTurn() {
      IntakeGate gate = gate();
      gate.turned(10 * LATE);
      assertEquals(admitted(gate), 1_000);
    }

    @Test
    public void growsWhileTheLoopIsBehindAndLeavesSomeConnections() {
      IntakeGate gate = gate();
      for (int i = 0; i < 20; i++) {
        gate.turned(LATE);
      }
      int admitted = admitted(gate);
      assertTrue(admitted > 50 && admitted < 150, admitted + " admitted");
      assertEquals(gate.closed(), 1_000 - admitted);
    }

    /** A node that is ready must not look as if it took no connections at all. */
    @Test
    public void leavesTheFirstConnectionAfterEachTurn() {
      IntakeGate gate = gate();
      for (int i = 0; i < 200; i++) {
        gate.turned(LATE);
        assertTrue(gate.admits(), "turn " + i);
      }
    }

    @Test
    public void shrinksToZeroOnceTheLoopIsOnTime() {
      IntakeGate gate = gate();
      for (int i = 0; i < 20; i++) {
        gate.turned(LATE);
      }
      for (int i = 0; i < 18; i++) {
        gate.turned(0);
      }
      assertEquals(admitted(gate), 1_000);
    }
  }

  /** A listener whose loop is kept busy by other work. */
  public static class BusyLoop {
    private static final byte[] REQUEST =
        "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII);

    private static RelayDialect dialect() {
      return (RelayDialect)
          Proxy.newProxyInstance(
              RelayDialect.class.getClassLoader(),
              new Class<?>[] {RelayDialect.class},
              (proxy, method, args) ->
                  switch (method.getName()) {
                    case "readMetadata" -> metadata((HeaderMap) args[0]);
                    case "refusal" -> refusal((Problem) args[0]);
                    default -> throw new UnsupportedOperationException(method.getName());
                  });
    }

    private static CallMetadata metadata(HeaderMap headers) {
      assertFalse(headers.contains("X-Unknown"));
      return CallMetadata.NONE;
    }

    private static RecordedAnswer refusal(Problem problem) {
      return new RecordedAnswer(problem.kind().status(), ImmutableList.of(), problem.bytes());
    }

    private static RelayListener start(Closer closer, HttpWorker worker) {
      XnioIoThread thread = worker.worker().getIoThread();
      RelaySettings settings =
          new RelaySettings(
              new DataCentreName("here"), 0.2, 10, 10_000, 1, 8, 1_000, 1, QuotaTolerance.NONE);
      RelayLoop loop =
          closer.add(new RelayLoop(thread, new RelayRouter(settings), BootClock.SYSTEM));
      UpstreamClient client =
          closer.add(
              new UpstreamClient(
                  worker,
                  new UpstreamClientSettings(1, 1, 1, 1_000, 1 << 10, 1 << 10),
                  System::nanoTime));
      RelayDialect dialect = dialect();
      RelayExecutor executor =
          new RelayExecutor(loop, dialect, client, thread, RelayClientSettings.DEFAULT, fact -> {});
      loop.setEffectSink(executor);
      CallerSettings caller =
          CallerSettings.on(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      return closer.add(RelayListener.start(caller, worker, loop, executor, dialect));
    }

    /** Keeps the thread busy for most of the time, until the given time. */
    private static void keepBusy(XnioIoThread thread, long untilNanos) {
      thread.execute(
          () -> {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(300);
            while (System.nanoTime() < end) {
              Thread.onSpinWait();
            }
            if (end < untilNanos) {
              thread.executeAfter(() -> keepBusy(thread, untilNanos), 1, TimeUnit.MILLISECONDS);
            }
          });
    }

    /** Sends a request by a new connection, and returns whether it was answered. */
    private static boolean isAnswered(InetSocketAddress address) {
      try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
        socket.setSoTimeout(5_000);
        socket.getOutputStream().write(REQUEST);
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII)
            .startsWith("HTTP/1.1 503");
      } catch (IOException e) {
        return false;
      }
    }

    @Test
    public void closesSomeConnectionsUnreadUntilItHasCaughtUp() throws Exception {
      try (Closer closer = new Closer()) {
        HttpWorker worker = closer.add(new HttpWorker(1));
        RelayListener listener = start(closer, worker);
        for (int i = 0; i < 20; i++) {
          assertTrue(isAnswered(listener.address()), "before");
        }
        keepBusy(worker.worker().getIoThread(), System.nanoTime() + 6_000_000_000L);
        Thread.sleep(3_000);
        int closed = 0;
        try (var clients = Executors.newVirtualThreadPerTaskExecutor()) {
          List<Future<Boolean>> answered = new ArrayList<>();
          for (int i = 0; i < 30; i++) {
            answered.add(clients.submit(() -> isAnswered(listener.address())));
          }
          for (Future<Boolean> a : answered) {
            closed += a.get() ? 0 : 1;
          }
        }
        assertTrue(closed > 0, "no connection was closed while the loop was behind");
        assertEquals(listener.closedUnread(), closed);
        Thread.sleep(6_000);
        for (int i = 0; i < 20; i++) {
          assertTrue(isAnswered(listener.address()), "after");
        }
      }
    }
  }
}
