/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.transport;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TProtocol;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.peer.gen.Batch;
import org.larkkeel.peer.gen.ConfigPage;
import org.larkkeel.peer.gen.PeerService;
import org.larkkeel.peer.gen.WireClaimReply;
import org.larkkeel.peer.gen.WireRecordAnswer;
import org.larkkeel.peer.gen.WireRunClaim;
import org.larkkeel.peer.gen.WireRunRecord;
import org.larkkeel.peer.membership.NodeAddress;
import org.larkkeel.time.BootClock;

/**
 * Calls peers over Thrift.
 *
 * <p>Each call runs on a virtual thread, with timeouts for connecting and for each read. A few idle
 * connections are kept per peer and closed after the idle timeout. If a call on an idle connection
 * fails, it is retried once on a new connection, which is safe because every call between nodes is
 * idempotent. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class PeerClient implements AutoCloseable {
  private static final int MAX_OPEN_CALLS = 256;

  private final TransportSettings settings;
  private final Optional<SSLContext> ssl;
  private final NameCheck nameCheck;
  private final ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor();
  private final Semaphore permits = new Semaphore(MAX_OPEN_CALLS);
  private final Map<NodeAddress, Deque<Connection>> idle = new HashMap<>();
  private boolean closed;

  /**
   * Creates a client without connections.
   *
   * @param settings timeouts and limits
   * @param ssl the context that authenticates both sides; empty for plain connections, as in tests
   * @param nameCheck determines whether the node name of a peer must be in its certificate
   */
  public PeerClient(TransportSettings settings, Optional<SSLContext> ssl, NameCheck nameCheck) {
    this.nameCheck = nameCheck;
    this.settings = settings;
    this.ssl = ssl;
  }

  private record Connection(
      Socket socket, PeerService.Client client, Optional<CertificateNames> names, long idleSince) {}

  /** A call on an open connection. */
  private interface Call<T> {
    T invoke(Connection connection) throws TException;
  }

  /**
   * Exchanges the batches of two nodes.
   *
   * @param peer the address
   * @param batch the batch of this node
   * @return the batch of the peer; fails with {@link LarkkeelException}
   */
  public CompletableFuture<Batch> exchange(NodeAddress peer, Batch batch) {
    return submit(
        peer,
        connection -> {
          Batch reply = connection.client().exchange(batch);
          if (connection.names().isPresent()) {
            connection.names().get().check(reply);
          }
          return reply;
        });
  }

  /**
   * Pulls the configuration that follows a revision.
   *
   * @param peer the address
   * @param fromRevision the revision that this node holds
   * @return a page; fails with {@link LarkkeelException}
   */
  public CompletableFuture<ConfigPage> pullConfig(NodeAddress peer, long fromRevision) {
    return submit(peer, connection -> connection.client().pullConfig(fromRevision));
  }

  /**
   * Claims a run at the owner of its records.
   *
   * @param peer the address
   * @param claim the claim; may be repeated
   * @return the owner's answer; fails with {@link LarkkeelException}
   */
  public CompletableFuture<WireClaimReply> claimRun(NodeAddress peer, WireRunClaim claim) {
    return submit(peer, connection -> connection.client().claimRun(claim));
  }

  /**
   * Records the end of a run at the owner of its records.
   *
   * @param peer the address
   * @param end how the run ended; may be repeated
   * @return the owner's answer; fails with {@link LarkkeelException}
   */
  public CompletableFuture<WireRecordAnswer> recordRun(NodeAddress peer, WireRunRecord end) {
    return submit(peer, connection -> connection.client().recordRun(end));
  }

  private <T> CompletableFuture<T> submit(NodeAddress peer, Call<T> call) {
    CompletableFuture<T> result = new CompletableFuture<>();
    if (!permits.tryAcquire()) {
      result.completeExceptionally(
          new LarkkeelException(
              ErrorKind.OVERLOADED, "more than " + MAX_OPEN_CALLS + " calls to peers are open"));
      return result;
    }
    try {
      calls.execute(() -> run(peer, call, result));
    } catch (RejectedExecutionException e) {
      permits.release();
      result.completeExceptionally(failure(peer, e));
    }
    return result;
  }

  private <T> void run(NodeAddress peer, Call<T> call, CompletableFuture<T> result) {
    try {
      T answer = attempt(peer, call);
      permits.release();
      result.complete(answer);
    } catch (IOException | TException | RuntimeException e) {
      permits.release();
      result.completeExceptionally(failure(peer, e));
    }
  }

  private static LarkkeelException failure(NodeAddress peer, Exception cause) {
    return new LarkkeelException(
        ErrorKind.INTERNAL, "the call to peer " + peer + " failed: " + cause, cause);
  }

  private <T> T attempt(NodeAddress peer, Call<T> call) throws IOException, TException {
    Optional<Connection> idleConnection = takeIdle(peer);
    if (idleConnection.isPresent()) {
      try {
        return callOn(peer, idleConnection.get(), call);
      } catch (TException e) {
        // The peer may have closed the idle connection; retry on a new one.
      }
    }
    return callOn(peer, connect(peer), call);
  }

  private <T> T callOn(NodeAddress peer, Connection connection, Call<T> call) throws TException {
    try {
      T answer = call.invoke(connection);
      returnIdle(peer, connection);
      return answer;
    } catch (TException | RuntimeException e) {
      Frames.closeQuietly(connection.socket());
      throw e;
    }
  }

  private Connection connect(NodeAddress peer) throws IOException, TException {
    Socket socket = ssl.isPresent() ? ssl.get().getSocketFactory().createSocket() : new Socket();
    try {
      int connectMillis = Math.toIntExact(settings.connectTimeout().toMillis());
      socket.connect(peer.toSocketAddress(), connectMillis);
      Frames.configure(socket, connectMillis);
      Optional<CertificateNames> names = Optional.empty();
      if (socket instanceof SSLSocket tlsSocket) {
        tlsSocket.startHandshake();
        names = namesOf(tlsSocket);
      }
      Frames.configure(socket, settings.callTimeout().toMillis());
      TProtocol protocol = Frames.protocol(socket, settings.maxReplyBytes());
      return new Connection(
          socket, new PeerService.Client(protocol), names, BootClock.SYSTEM.nanoTime());
    } catch (IOException | TException | RuntimeException e) {
      Frames.closeQuietly(socket);
      throw e;
    }
  }

  private Optional<CertificateNames> namesOf(SSLSocket socket) throws IOException {
    return nameCheck == NameCheck.OFF ? Optional.empty() : Optional.of(CertificateNames.of(socket));
  }

  private synchronized Optional<Connection> takeIdle(NodeAddress peer) {
    Deque<Connection> idleOfPeer = idle.get(peer);
    return idleOfPeer == null ? Optional.empty() : Optional.ofNullable(idleOfPeer.pollLast());
  }

  private synchronized void returnIdle(NodeAddress peer, Connection connection) {
    Deque<Connection> idleOfPeer = idle.computeIfAbsent(peer, key -> new ArrayDeque<>());
    if (closed || idleOfPeer.size() >= settings.maxIdlePerPeer()) {
      Frames.closeQuietly(connection.socket());
      return;
    }
    idleOfPeer.addLast(
        new Connection(
            connection.socket(),
            connection.client(),
            connection.names(),
            BootClock.SYSTEM.nanoTime()));
  }

  /**
   * Closes the connections that have been unused for the idle timeout; to be called periodically.
   */
  public void closeIdle() {
    long limit =
        BootClock.SYSTEM.nanoTime()
            - TimeUnit.MILLISECONDS.toNanos(settings.idleTimeout().toMillis());
    for (Connection connection : takeIdleSince(limit)) {
      Frames.closeQuietly(connection.socket());
    }
  }

  private synchronized List<Connection> takeIdleSince(long limit) {
    List<Connection> expired = new ArrayList<>();
    Iterator<Deque<Connection>> peers = idle.values().iterator();
    while (peers.hasNext()) {
      Deque<Connection> idleOfPeer = peers.next();
      while (!idleOfPeer.isEmpty() && idleOfPeer.peekFirst().idleSince() - limit <= 0) {
        expired.add(idleOfPeer.pollFirst());
      }
      if (idleOfPeer.isEmpty()) {
        peers.remove();
      }
    }
    return expired;
  }

  @Override
  public void close() {
    synchronized (this) {
      closed = true;
    }
    calls.shutdown();
    for (Connection connection : takeAllIdle()) {
      Frames.closeQuietly(connection.socket());
    }
  }

  private synchronized List<Connection> takeAllIdle() {
    List<Connection> all = new ArrayList<>();
    idle.values().forEach(all::addAll);
    idle.clear();
    return all;
  }
}
