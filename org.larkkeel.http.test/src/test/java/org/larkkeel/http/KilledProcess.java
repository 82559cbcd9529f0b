/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http;

import com.google.common.collect.ImmutableList;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.larkkeel.http.caller.CallerSettings;
import org.larkkeel.http.caller.UndertowChannel;
import org.larkkeel.http.tunnel.TunnelGate;
import org.larkkeel.http.tunnel.TunnelHandler;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.lib.UpstreamName;

/**
 * A process of its own that serves on 127.0.0.1 until it is killed, so that the system closes its
 * connections.
 *
 * <p>Safe for use by several threads.
 */
public final class KilledProcess implements AutoCloseable {
  /** What a process serves. */
  public enum Mode {
    /** Tunnels to the upstream that it is given. */
    CARRIER,

    /** Streams that begin with one event and go on for ever. */
    ENDLESS_STREAM
  }

  private static final CallerSettings SETTINGS =
      CallerSettings.on(new InetSocketAddress("127.0.0.1", 0));

  private final Process process;
  private final InetSocketAddress address;

  /**
   * Starts a process.
   *
   * @param mode what it serves
   * @param upstream the upstream of tunnels
   */
  public KilledProcess(Mode mode, String upstream) throws IOException {
    process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty(
                    "surefire.test.class.path", System.getProperty("java.class.path")),
                KilledProcess.class.getName(),
                mode.name(),
                upstream)
            .redirectError(ProcessBuilder.Redirect.INHERIT)
            .start();
    BufferedReader out =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.US_ASCII));
    String line = out.readLine();
    while (line != null && !line.startsWith("port=")) {
      line = out.readLine();
    }
    if (line == null) {
      throw new IOException("the process ended before it listened");
    }
    address = new InetSocketAddress("127.0.0.1", Integer.parseInt(line.substring(5)));
  }

  /** Returns the address at which the process listens. */
  public InetSocketAddress address() {
    return address;
  }

  /** Kills the process, and waits for its end. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  @Override
  public void close() throws InterruptedException {
    kill();
  }

  /** The process: the mode, and the upstream of tunnels. */
  public static void main(String[] args) throws InterruptedException {
    HttpWorker worker = new HttpWorker(1);
    HttpHandler handler =
        switch (Mode.valueOf(args[0])) {
          case CARRIER -> new TunnelHandler(worker, new Gate(UpstreamAddress.parse(args[1])));
          case ENDLESS_STREAM -> KilledProcess::beginStream;
        };
    Undertow server =
        Undertow.builder()
            .setWorker(worker.worker())
            .setByteBufferPool(worker.buffers())
            .addHttpListener(0, "127.0.0.1", handler)
            .build();
    server.start();
    InetSocketAddress listening =
        (InetSocketAddress) server.getListenerInfo().getFirst().getAddress();
    System.out.println("port=" + listening.getPort());
    // The threads of the worker are daemons.
    new CountDownLatch(1).await();
  }

  private static void beginStream(HttpServerExchange exchange) {
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () ->
            new UndertowChannel(exchange, SETTINGS, () -> {})
                .stream("id: 1\ndata: x\n\n".getBytes(StandardCharsets.US_ASCII)));
  }

  private record Gate(UpstreamAddress upstream) implements TunnelGate {
    @Override
    public boolean isPeer(InetAddress host) {
      return true;
    }

    @Override
    public Optional<UpstreamAddress> address(UpstreamName name) {
      return Optional.of(upstream);
    }

    @Override
    public ImmutableList<UpstreamAddress> siblings(UpstreamName name) {
      return ImmutableList.of();
    }
  }
}
