/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import com.google.common.collect.ImmutableSet;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.Protocols;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.larkkeel.event.FailureCause;
import org.larkkeel.http.HttpWorker;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One request to an upstream and its response.
 *
 * <p>Invariants: the handler gets exactly one last call; after the first byte was written every
 * failure is {@code MAY_HAVE_RUN}. Once a connection is assigned, all work happens on its I/O
 * thread.
 */
final class UpstreamExchange implements InFlightRequest, ConnectionPool.Waiter {
  private static final ImmutableSet<HttpString> BODYLESS =
      ImmutableSet.of(Methods.GET, Methods.HEAD, Methods.DELETE);

  /** Created beforehand, as there may be no memory left when it is needed. */
  private static final UpstreamFailure HANDLER_FAILED =
      UpstreamFailure.mayHaveRun(
          FailureCause.BAD_ANSWER, "a part of the response could not be processed");

  /** The maximum size of a part of a body that may hold items, as they are counted afterwards. */
  private static final int ITEMS_PART_BYTES = 4 << 10;

  private final ConnectionPool pool;
  private final HttpWorker worker;
  private final UpstreamAddress address;
  private final UpstreamRequest request;
  private final ResponseTimeout timeout;
  private final ConnectionUse use;
  private final LongSupplier clock;
  private final ResponseHandler handler;
  private final AtomicBoolean ended = new AtomicBoolean();
  private final Object assignmentLock = new Object();
  private final XnioIoThread timerThread;

  private volatile PooledConnection assigned;
  private volatile XnioExecutor.Key timer;
  private volatile long lastActivity;
  private volatile boolean connecting;
  private boolean requestWritten;
  private boolean reusesConnection;
  private boolean retried;
  private boolean mayHoldItems = true;
  private long bytesWrittenBefore;

  UpstreamExchange(
      HttpWorker worker,
      ConnectionPool pool,
      UpstreamAddress address,
      UpstreamRequest request,
      ResponseTimeout timeout,
      ConnectionUse use,
      LongSupplier clock,
      ResponseHandler handler) {
    this.worker = worker;
    this.pool = pool;
    this.address = address;
    this.request = request;
    this.timeout = timeout;
    this.use = use;
    this.clock = clock;
    this.handler = handler;
    this.timerThread = worker.worker().getIoThread();
  }

  void start() {
    lastActivity = clock.getAsLong();
    armTimer(timeout.nanos());
    pool.acquire(this);
  }

  @Override
  public void abort() {
    failFromAnyThread(FailureCause.CONNECTION_LOST, "aborted by the node");
  }

  @Override
  public boolean isAbandoned() {
    return ended.get();
  }

  @Override
  public boolean isUrgent() {
    return switch (use) {
      case ConnectionUse.Request r -> false;
      case ConnectionUse.Attempt a -> false;
      case ConnectionUse.Control c -> true;
      case ConnectionUse.Exclusive e -> true;
    };
  }

  @Override
  public boolean accepts(PooledConnection used) {
    if (retried) {
      return false;
    }
    return switch (use) {
      case ConnectionUse.Request r -> true;
      case ConnectionUse.Attempt a -> !a.earlier().contains(used);
      case ConnectionUse.Control c -> true;
      case ConnectionUse.Exclusive e -> false;
    };
  }

  @Override
  public void onConnecting() {
    connecting = true;
  }

  @Override
  public void onConnectFailed(ConnectFailure failure, String detail) {
    endWithFailure(UpstreamFailure.notConnected(failure, detail));
  }

  @Override
  public void onUnavailable(String detail) {
    endWithFailure(UpstreamFailure.notSent(FailureCause.CONNECT_FAILED, detail));
  }

  @Override
  public void onConnection(PooledConnection connection) {
    connecting = false;
    connection.connection().getIoThread().execute(() -> send(connection));
  }

  private void send(PooledConnection connection) {
    if (!request.allowed().getAsBoolean()) {
      onUnavailable("no longer permitted at the time of sending");
    }
    if (!assign(connection)) {
      connection.release(true);
      return;
    }
    connection.limit().contentRead();
    ConnectionPosition position = connection.countRequest(clock.getAsLong());
    reusesConnection = position.requestNumber() > 1;
    bytesWrittenBefore = bytesWritten(connection);
    if (!connection.isOpen()) {
      onConnectionLost(connection, "connection closed before the request was sent");
      return;
    }
    if (use instanceof ConnectionUse.Attempt a) {
      a.earlier().add(connection);
    }
    handler.onSending(position);
    connection.connection().sendRequest(clientRequest(), new RequestCallback(connection));
  }

  private boolean assign(PooledConnection connection) {
    synchronized (assignmentLock) {
      if (ended.get()) {
        return false;
      }
      assigned = connection;
      return true;
    }
  }

  private ClientRequest clientRequest() {
    ClientRequest outgoing =
        new ClientRequest()
            .setMethod(request.method())
            .setPath(request.target())
            .setProtocol(Protocols.HTTP_1_1);
    HeaderMap headers = outgoing.getRequestHeaders();
    request.headers().forEach(headers::add);
    if (!headers.contains(Headers.HOST)) {
      headers.put(Headers.HOST, address.hostHeader());
    }
    if (request.body().length > 0 || !BODYLESS.contains(request.method())) {
      headers.put(Headers.CONTENT_LENGTH, request.body().length);
    }
    return outgoing;
  }

  private void writeBody(PooledConnection connection, StreamSinkChannel channel) {
    ByteBuffer body = ByteBuffer.wrap(request.body());
    channel.getWriteSetter().set(c -> continueBody(connection, c, body));
    continueBody(connection, channel, body);
  }

  private void continueBody(
      PooledConnection connection, StreamSinkChannel channel, ByteBuffer body) {
    try {
      while (body.hasRemaining()) {
        if (channel.write(body) == 0) {
          channel.resumeWrites();
          return;
        }
      }
      channel.shutdownWrites();
      if (channel.flush()) {
        channel.suspendWrites();
        requestWritten = true;
      } else {
        finishFlush(connection, channel);
      }
    } catch (IOException e) {
      onConnectionLost(connection, String.valueOf(e.getMessage()));
    }
  }

  private void finishFlush(PooledConnection connection, StreamSinkChannel channel) {
    channel
        .getWriteSetter()
        .set(
            ChannelListeners.<StreamSinkChannel>flushingChannelListener(
                c -> requestWritten = true,
                (c, e) -> onConnectionLost(connection, String.valueOf(e.getMessage()))));
    channel.resumeWrites();
  }

  private void onResponse(PooledConnection connection, ClientExchange exchange) {
    if (ended.get()) {
      return;
    }
    ClientResponse response = exchange.getResponse();
    recordActivity();
    connection.limit().contentRead();
    if (ResponseFraming.of(
            request.method(), response.getResponseCode(), response.getResponseHeaders()::get)
        .isEmpty()) {
      endWithFailure(
          UpstreamFailure.mayHaveRun(
              FailureCause.BAD_ANSWER, "the head of the response does not tell where it ends"));
      return;
    }
    if (!handler.onHeaders(response.getResponseCode(), response.getResponseHeaders())) {
      endAsUnusable();
      return;
    }
    StreamSourceChannel channel = exchange.getResponseChannel();
    channel.getReadSetter().set(c -> readBody(connection, c));
    readBody(connection, channel);
  }

  private void readBody(PooledConnection connection, StreamSourceChannel channel) {
    try (PooledByteBuffer pooled = worker.buffers().allocate()) {
      ByteBuffer part = pooled.getBuffer();
      while (!ended.get()) {
        part.clear();
        if (mayHoldItems) {
          part.limit(Math.min(part.capacity(), ITEMS_PART_BYTES));
        }
        int n = channel.read(part);
        if (n == 0) {
          channel.resumeReads();
          return;
        }
        if (n < 0) {
          complete();
          return;
        }
        recordActivity();
        connection.limit().contentRead();
        part.flip();
        if (!handler.onBody(part)) {
          endAsUnusable();
        }
        int items = handler.itemsInLastPart();
        mayHoldItems = items > 0;
        connection.limit().itemsRead(1 + items);
      }
    } catch (IOException e) {
      onConnectionLost(connection, String.valueOf(e.getMessage()));
    } catch (RuntimeException | Error e) {
      // The part was read already, and the rest of the response would look complete without it.
      endWithFailure(HANDLER_FAILED);
      throw e;
    }
  }

  private void endAsUnusable() {
    endWithFailure(
        UpstreamFailure.mayHaveRun(
            FailureCause.BAD_ANSWER, "the response was rejected as unusable"));
  }

  private void complete() {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    stopTimer();
    assigned.release(requestWritten && !(use instanceof ConnectionUse.Exclusive));
    handler.onEnd();
  }

  private void onConnectionLost(PooledConnection connection, String detail) {
    if (connection != assigned || ended.get()) {
      return;
    }
    boolean nothingSent = bytesWritten(connection) == bytesWrittenBefore;
    if (nothingSent && reusesConnection && !retried) {
      retried = true;
      unassign();
      IoUtils.safeClose(connection.connection());
      pool.acquire(this);
      return;
    }
    boolean flooded = connection.limit().isExceeded();
    fail(flooded ? FailureCause.BAD_ANSWER : FailureCause.CONNECTION_LOST, detail);
  }

  private void unassign() {
    synchronized (assignmentLock) {
      assigned = null;
    }
  }

  private void failFromAnyThread(FailureCause cause, String detail) {
    PooledConnection current;
    boolean endedHere = false;
    synchronized (assignmentLock) {
      current = assigned;
      if (current == null) {
        endedHere = ended.compareAndSet(false, true);
      }
    }
    if (current != null) {
      current.connection().getIoThread().execute(() -> fail(cause, detail));
    } else if (endedHere) {
      stopTimer();
      handler.onFailure(
          connecting
              ? UpstreamFailure.notConnected(ConnectFailure.TIMED_OUT, detail)
              : UpstreamFailure.notSent(FailureCause.CONNECT_FAILED, detail));
    }
  }

  private void fail(FailureCause cause, String detail) {
    PooledConnection current = assigned;
    boolean nothingSent = current == null || bytesWritten(current) == bytesWrittenBefore;
    endWithFailure(
        nothingSent
            ? UpstreamFailure.notSent(cause, detail)
            : UpstreamFailure.mayHaveRun(cause, detail));
  }

  private void endWithFailure(UpstreamFailure failure) {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    stopTimer();
    PooledConnection current = assigned;
    if (current != null) {
      current.reset();
    }
    handler.onFailure(failure);
  }

  private static long bytesWritten(PooledConnection connection) {
    return connection.connection().getStatistics().getWritten();
  }

  private void recordActivity() {
    lastActivity = clock.getAsLong();
  }

  private void armTimer(long nanos) {
    timer = timerThread.executeAfter(this::onTimer, Math.max(1, nanos), TimeUnit.NANOSECONDS);
  }

  private void stopTimer() {
    XnioExecutor.Key current = timer;
    if (current != null) {
      current.remove();
    }
  }

  private void onTimer() {
    if (ended.get()) {
      return;
    }
    long remainingNanos = timeout.nanos() - (clock.getAsLong() - lastActivity);
    if (timeout.kind() == ResponseTimeout.Kind.IDLE && remainingNanos > 0) {
      armTimer(remainingNanos);
      return;
    }
    failFromAnyThread(FailureCause.TIMED_OUT, "timed out waiting for the response");
  }

  /** Writes the request body once the connection has accepted the request. */
  private final class RequestCallback implements ClientCallback<ClientExchange> {
    private final PooledConnection connection;

    RequestCallback(PooledConnection connection) {
      this.connection = connection;
    }

    @Override
    public void completed(ClientExchange exchange) {
      exchange.setResponseListener(new ResponseCallback(connection));
      if (request.body().length == 0) {
        requestWritten = true;
      } else {
        writeBody(connection, exchange.getRequestChannel());
      }
    }

    @Override
    public void failed(IOException e) {
      onConnectionLost(connection, String.valueOf(e.getMessage()));
    }
  }

  /** Reads the response once its headers have been received. */
  private final class ResponseCallback implements ClientCallback<ClientExchange> {
    private final PooledConnection connection;

    ResponseCallback(PooledConnection connection) {
      this.connection = connection;
    }

    @Override
    public void completed(ClientExchange exchange) {
      onResponse(connection, exchange);
    }

    @Override
    public void failed(IOException e) {
      onConnectionLost(connection, String.valueOf(e.getMessage()));
    }
  }
}
