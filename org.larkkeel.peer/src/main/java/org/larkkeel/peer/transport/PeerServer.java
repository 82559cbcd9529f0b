/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLServerSocket;
import javax.net.ssl.SSLSocket;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TProtocol;
import org.larkkeel.peer.gen.PeerService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers the Thrift calls of peers.
 *
 * <p>A frame that is too large, malformed or truncated closes its own connection only. With an SSL
 * context only peers with an accepted certificate are served. One platform thread accepts
 * connections; each connection has a virtual thread, and the number of connections is limited. Safe
 * for use by several threads; the handler is called by several threads at once.
 *
 * @since 0.1
 */
public final class PeerServer implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(PeerServer.class);
  private static final String[] TLS_VERSIONS = {"TLSv1.3"};
  private static final Duration ACCEPTOR_JOIN_TIMEOUT = Duration.ofSeconds(5);

  private final TransportSettings settings;
  private final NameCheck nameCheck;
  private final PeerService.Iface handler;
  private final ServerSocket listener;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final Thread acceptor;
  private volatile boolean closed;

  private PeerServer(
      TransportSettings settings,
      NameCheck nameCheck,
      PeerService.Iface handler,
      ServerSocket listener) {
    this.settings = settings;
    this.nameCheck = nameCheck;
    this.handler = handler;
    this.listener = listener;
    this.acceptor = Thread.ofPlatform().daemon().name("peer-accept").unstarted(this::accept);
  }

  /**
   * Opens the listener and serves until closed.
   *
   * @param settings timeouts and limits
   * @param address the address to listen on; port 0 selects a free port
   * @param ssl the context that authenticates both sides; empty for plain connections, as in tests
   * @param nameCheck determines whether the node name of a peer must be in its certificate
   * @param handler answers the calls
   * @return the server
   * @throws IOException if the address can not be bound
   */
  public static PeerServer open(
      TransportSettings settings,
      InetSocketAddress address,
      Optional<SSLContext> ssl,
      NameCheck nameCheck,
      PeerService.Iface handler)
      throws IOException {
    ServerSocket listener = ssl.isPresent() ? openTlsListener(ssl.get()) : new ServerSocket();
    try {
      listener.setReuseAddress(true);
      listener.bind(address);
    } catch (IOException e) {
      listener.close();
      throw new IOException("peer address " + address + " can not be bound: " + e.getMessage(), e);
    }
    PeerServer server = new PeerServer(settings, nameCheck, handler, listener);
    server.acceptor.start();
    return server;
  }

  private static ServerSocket openTlsListener(SSLContext context) throws IOException {
    SSLServerSocket listener =
        (SSLServerSocket) context.getServerSocketFactory().createServerSocket();
    listener.setNeedClientAuth(true);
    listener.setEnabledProtocols(TLS_VERSIONS);
    return listener;
  }

  /**
   * Returns the port that the server listens on.
   *
   * @return the port
   */
  public int port() {
    return listener.getLocalPort();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        if (connections.size() >= settings.maxConnections()) {
          Frames.closeQuietly(socket);
          continue;
        }
        connections.add(socket);
        Thread.ofVirtual().name("peer-connection").start(() -> serve(socket));
      } catch (IOException e) {
        if (!closed) {
          LOG.warn("event=peer_accept_failed error=\"{}\"", e.toString());
        }
      }
    }
  }

  private void serve(Socket socket) {
    try {
      Frames.configure(socket, settings.idleTimeout().toMillis());
      TProtocol protocol = Frames.protocol(socket, settings.maxRequestBytes());
      var processor = new PeerService.Processor<>(handlerFor(socket));
      while (!closed) {
        processor.process(protocol, protocol);
      }
    } catch (IOException | TException | RuntimeException e) {
      // An idle, broken or malicious connection: it is closed below.
      LOG.debug(
          "event=peer_connection_ended peer={} error=\"{}\"",
          socket.getRemoteSocketAddress(),
          e.toString());
    } finally {
      connections.remove(socket);
      Frames.closeQuietly(socket);
    }
  }

  private PeerService.Iface handlerFor(Socket socket) throws IOException {
    if (nameCheck == NameCheck.OFF || !(socket instanceof SSLSocket tlsSocket)) {
      return handler;
    }
    tlsSocket.startHandshake();
    return new NameCheckedService(handler, CertificateNames.of(tlsSocket));
  }

  /**
   * Closes the listener and all connections.
   *
   * <p>The address can be bound again once this method returns: the operating system keeps a
   * listener open as long as a thread waits in accept, so this method waits for the acceptor thread
   * to end.
   */
  @Override
  public void close() {
    closed = true;
    try {
      listener.close();
    } catch (IOException e) {
      LOG.debug("event=peer_listener_close_failed error=\"{}\"", e.toString());
    }
    awaitAcceptor();
    connections.forEach(Frames::closeQuietly);
  }

  private void awaitAcceptor() {
    try {
      acceptor.join(ACCEPTOR_JOIN_TIMEOUT);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
