/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.tunnel;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.upstream.ConnectProbe;
import org.larkkeel.http.upstream.EndProbe;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.lib.Names;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.ProbeResult;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Opens tunnels to upstreams for other nodes.
 *
 * <p>Invariants: a tunnel is opened for nodes of the cluster only, leads to a listed upstream that
 * this node reaches directly, and is counted against a limit. Confined to the I/O thread, but for
 * {@link #activeTunnels}.
 *
 * @since 0.1
 */
public final class TunnelHandler implements HttpHandler, AutoCloseable {
  /** The maximum number of tunnels, so that other nodes can not use up the descriptors. */
  private static final int MAX_TUNNELS = 256;

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration CHECK_PERIOD = Duration.ofMillis(500);

  /** The number of checks without any bytes after which a tunnel is closed. */
  private static final int MAX_IDLE_CHECKS = 120;

  private final HttpWorker worker;
  private final XnioIoThread thread;
  private final TunnelGate gate;
  private final ConnectProbe probe;
  private final EndProbe endProbe;
  private final Set<OpenTunnel> open = new LinkedHashSet<>();
  private final XnioExecutor.Key period;
  private int opening;
  private boolean closing;
  private volatile int active;

  /** A tunnel and for how long it was idle. */
  private static final class OpenTunnel {
    private Splice splice;
    private int idleChecks;
  }

  /**
   * Creates a handler.
   *
   * @param worker the I/O thread and buffers
   * @param gate decides which tunnels are opened
   */
  public TunnelHandler(HttpWorker worker, TunnelGate gate) {
    this.worker = worker;
    this.thread = worker.worker().getIoThread();
    this.gate = gate;
    this.probe = new ConnectProbe(thread);
    this.endProbe = new EndProbe(thread);
    this.period =
        thread.executeAtInterval(this::checkIdle, CHECK_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Returns the number of tunnels in use, as of the last check; thread-safe. */
  public int activeTunnels() {
    return active;
  }

  /** Opens no more tunnels; those that are open stay. */
  public void refuseNew() {
    thread.execute(() -> closing = true);
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    String name = exchange.getRequestHeaders().getFirst(TunnelProtocol.UPSTREAM);
    if (!gate.isPeer(exchange.getSourceAddress().getAddress())) {
      end(exchange, StatusCodes.FORBIDDEN);
    } else if (name == null || !Names.isValid(name)) {
      end(exchange, StatusCodes.BAD_REQUEST);
    } else {
      UpstreamName upstream = new UpstreamName(name);
      Optional<UpstreamAddress> address = gate.address(upstream);
      if (closing || address.isEmpty() || open.size() + opening >= MAX_TUNNELS) {
        end(exchange, TunnelProtocol.UNAVAILABLE);
      } else {
        exchange.dispatch(
            SameThreadExecutor.INSTANCE, () -> connect(exchange, upstream, address.get()));
      }
    }
  }

  private static void end(HttpServerExchange exchange, int status) {
    exchange.setStatusCode(status);
    if (status != TunnelProtocol.OPEN) {
      exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
      exchange.setPersistent(false);
    }
    exchange.endExchange();
  }

  private void connect(HttpServerExchange exchange, UpstreamName name, UpstreamAddress address) {
    opening++;
    IoFuture<StreamConnection> connecting =
        thread.openStreamConnection(address.address(), c -> {}, OptionMap.EMPTY);
    XnioExecutor.Key timeout =
        thread.executeAfter(connecting::cancel, CONNECT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    connecting.addNotifier(
        (future, nothing) -> {
          timeout.remove();
          thread.execute(() -> connected(exchange, name, address, future));
        },
        null);
  }

  private void connected(
      HttpServerExchange exchange,
      UpstreamName name,
      UpstreamAddress address,
      IoFuture<? extends StreamConnection> future) {
    opening--;
    switch (future.getStatus()) {
      case DONE -> join(exchange, address, future);
      case FAILED -> {
        if (future.getException() instanceof ConnectException) {
          reportRefusal(exchange, name);
        } else {
          end(exchange, TunnelProtocol.UNAVAILABLE);
        }
      }
      default -> end(exchange, TunnelProtocol.UNAVAILABLE);
    }
  }

  private void join(
      HttpServerExchange exchange,
      UpstreamAddress address,
      IoFuture<? extends StreamConnection> done) {
    StreamConnection upstream;
    try {
      upstream = done.get();
    } catch (IOException e) {
      end(exchange, TunnelProtocol.UNAVAILABLE);
      return;
    }
    OpenTunnel tunnel = new OpenTunnel();
    open.add(tunnel);
    exchange
        .getConnection()
        .addCloseListener(
            c -> {
              // The caller has left before the tunnel was joined.
              if (tunnel.splice == null) {
                open.remove(tunnel);
                IoUtils.safeClose(upstream);
              }
            });
    boolean framed = TunnelProtocol.isFramed(exchange.getRequestHeaders());
    if (framed) {
      exchange.getResponseHeaders().put(TunnelProtocol.FRAMES, TunnelProtocol.FRAMES_VERSION);
    }
    exchange.acceptConnectRequest(
        (caller, e) -> {
          tunnel.splice =
              new Splice(
                  caller,
                  upstream,
                  framed,
                  result -> endProbe.start(address.address(), result),
                  worker.buffers(),
                  () -> open.remove(tunnel));
          tunnel.splice.start();
        });
    end(exchange, TunnelProtocol.OPEN);
  }

  /**
   * Answers that the upstream refuses connections if another upstream of its service accepts one;
   * else this node itself may have lost its paths.
   */
  private void reportRefusal(HttpServerExchange exchange, UpstreamName name) {
    List<UpstreamAddress> siblings = new ArrayList<>(gate.siblings(name));
    probeNext(
        siblings.iterator(),
        listens -> end(exchange, listens ? TunnelProtocol.REFUSED : TunnelProtocol.UNAVAILABLE));
  }

  private void probeNext(Iterator<UpstreamAddress> siblings, Consumer<Boolean> done) {
    if (!siblings.hasNext()) {
      done.accept(false);
      return;
    }
    probe.start(
        siblings.next().address(),
        result -> {
          if (result == ProbeResult.LISTENS) {
            done.accept(true);
          } else {
            probeNext(siblings, done);
          }
        });
  }

  /** Closes the tunnels that were idle for long and counts those in use. */
  private void checkIdle() {
    int inUse = 0;
    for (OpenTunnel t : List.copyOf(open)) {
      if (t.splice != null) {
        t.idleChecks = t.splice.takeMoved() ? 0 : t.idleChecks + 1;
        inUse += t.idleChecks < 2 || t.splice.awaitsUpstream() ? 1 : 0;
        if (t.idleChecks > MAX_IDLE_CHECKS) {
          t.splice.abort();
        }
      }
    }
    active = inUse;
  }

  @Override
  public void close() {
    period.remove();
  }
}
