/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableListMultimap;
import io.undertow.util.Methods;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.larkkeel.event.FailureCause;
import org.larkkeel.http.tunnel.PeerTunnelOpener;
import org.larkkeel.http.upstream.ConnectionUse;
import org.larkkeel.http.upstream.Destination;
import org.larkkeel.http.upstream.ResponseCollector;
import org.larkkeel.http.upstream.ResponseTimeout;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.http.upstream.UpstreamClient;
import org.larkkeel.http.upstream.UpstreamClientSettings;
import org.larkkeel.http.upstream.UpstreamFailure;
import org.larkkeel.http.upstream.UpstreamRequest;
import org.larkkeel.lib.UpstreamName;
import org.testng.annotations.Test;

/**
 * Tests of what the other end of a connection sees when the process is killed: no code of the
 * process runs, and the system closes its connections.
 */
public class KilledProcessTest {
  private static final String PART = "HTTP/1.1 200 X\r\n\r\nid: 1\ndata: x\n\n";

  private static String readEvent(InputStream in) throws IOException {
    StringBuilder all = new StringBuilder();
    while (all.indexOf("data: x\n\n") < 0) {
      int b = in.read();
      assertTrue(b >= 0, all.toString());
      all.append((char) b);
    }
    return all.toString();
  }

  /** Tests of nodes that carry tunnels. */
  public static class Carriers {
    private final CountDownLatch done = new CountDownLatch(1);

    private ScriptedServer upstream() throws IOException {
      return new ScriptedServer(
          (q, a) -> {
            a.raw(PART);
            done.await();
          });
    }

    /** Guards against truncated answers that look complete after the carrier was killed. */
    @Test
    public void leaveNoAnswerThatLooksComplete() throws Exception {
      try (HttpWorker worker = new HttpWorker(1);
          UpstreamClient client =
              new UpstreamClient(worker, UpstreamClientSettings.DEFAULT, System::nanoTime);
          ScriptedServer server = upstream();
          KilledProcess carrier =
              new KilledProcess(
                  KilledProcess.Mode.CARRIER, new UpstreamAddress(server.address()).hostHeader())) {
        client.setTunnelOpener(
            new PeerTunnelOpener(
                worker,
                InetAddress.ofLiteral("127.0.0.1"),
                () -> List.of(carrier.address()),
                System::nanoTime,
                1));
        CompletableFuture<Object> outcome = new CompletableFuture<>();
        client.send(
            new Destination.Tunnel(
                new UpstreamAddress(server.address()), new UpstreamName("engine-1")),
            new UpstreamRequest(Methods.GET, "/x", ImmutableListMultimap.of(), new byte[0]),
            ResponseTimeout.total(TimeUnit.SECONDS.toNanos(Node.TIMEOUT_SECONDS)),
            ConnectionUse.REQUEST,
            new ResponseCollector(1 << 20, outcome::complete, outcome::complete));
        server.next();
        // The node must have read all of the part, else the system resets the connection.
        Thread.sleep(200);
        carrier.kill();
        Object result = outcome.get(Node.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        done.countDown();
        assertTrue(result instanceof UpstreamFailure, String.valueOf(result));
        assertEquals(((UpstreamFailure) result).cause(), FailureCause.CONNECTION_LOST);
      }
    }

    /** Guards against the same at a node of a version that reads no frames. */
    @Test
    public void resetTunnelsWithoutFrames() throws Exception {
      try (ScriptedServer server = upstream();
          KilledProcess carrier =
              new KilledProcess(
                  KilledProcess.Mode.CARRIER, new UpstreamAddress(server.address()).hostHeader());
          Socket node = new Socket()) {
        node.connect(carrier.address());
        node.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Node.TIMEOUT_SECONDS));
        InputStream in = node.getInputStream();
        write(node, "CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\nLarkkeel-Upstream: engine-1\r\n\r\n");
        for (String line = ScriptedServer.line(in); !line.isEmpty(); ) {
          line = ScriptedServer.line(in);
        }
        write(node, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
        readEvent(in);
        carrier.kill();
        done.countDown();
        assertThrows(IOException.class, in::read);
      }
    }
  }

  /** Tests of nodes that write a stream to a caller that knows no chunks. */
  public static class StreamsWithoutChunks {
    /** Guards against truncated streams that look complete to HTTP/1.0 callers. */
    @Test
    public void endWithReset() throws Exception {
      try (KilledProcess process =
              new KilledProcess(KilledProcess.Mode.ENDLESS_STREAM, "127.0.0.1:9");
          Socket caller = new Socket()) {
        caller.connect(process.address());
        caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Node.TIMEOUT_SECONDS));
        write(caller, "GET /x HTTP/1.0\r\n\r\n");
        InputStream in = caller.getInputStream();
        assertTrue(readEvent(in).startsWith("HTTP/1."), "the head comes first");
        process.kill();
        assertThrows(IOException.class, in::read);
      }
    }
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }
}
