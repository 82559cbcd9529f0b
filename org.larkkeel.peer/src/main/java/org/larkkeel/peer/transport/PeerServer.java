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
 * <p>A frame that is too large, malformed or cut short ends its own connection and nothing else.
 * With an SSL context only peers with an accepted certificate are served. One platform thread
 * accepts; each connection has a virtual thread, and their number is bounded. Safe for use by
 * several threads; the handler is called by several threads at once.
 *
 * @since 0.1
 */
public final class PeerServer implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(PeerServer.class);
  private static final String[] TLS_VERSIONS = {"TLSv1.3"};
  private static final Duration ACCEPTOR_PATIENCE = Duration.ofSeconds(5);

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
   * @param settings bounds
   * @param address where to listen; port 0 chooses a free one
   * @param ssl authenticates both sides; empty for plain connections, as in tests
   * @param nameCheck whether a peer is held to the names in its certificate
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
    ServerSocket listener = ssl.isPresent() ? secure(ssl.get()) : new ServerSocket();
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

  private static ServerSocket secure(SSLContext context) throws IOException {
    SSLServerSocket listener =
        (SSLServerSocket) context.getServerSocketFactory().createServerSocket();
    listener.setNeedClientAuth(true);
    listener.setEnabledProtocols(TLS_VERSIONS);
    return listener;
  }

  /**
   * The port that the server listens on.
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
      Frames.prepare(socket, settings.idleTimeout().toMillis());
      TProtocol protocol = Frames.protocol(socket, settings.maxRequestBytes());
      var processor = new PeerService.Processor<>(handlerFor(socket));
      while (!closed) {
        processor.process(protocol, protocol);
      }
    } catch (IOException | TException | RuntimeException e) {
      // An idle, broken or hostile connection: the next line ends it.
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
    if (nameCheck == NameCheck.OFF || !(socket instanceof SSLSocket secure)) {
      return handler;
    }
    secure.startHandshake();
    return new NameCheckedService(handler, CertificateNames.of(secure));
  }

  /**
   * Ends the listener and all connections.
   *
   * <p>The address is free once this returns: the system keeps a listener for as long as a thread
   * waits in it, so the acceptor's end is waited for.
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
      acceptor.join(ACCEPTOR_PATIENCE);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
