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
 * One request on one connection.
 *
 * <p>Invariant: the handler gets exactly one last call; after the first byte was written every
 * failure is {@code MAY_HAVE_RUN}. Once a connection is had, everything happens on its I/O thread.
 */
final class UpstreamExchange implements InFlight, ConnectionPool.Waiter {
  private static final ImmutableSet<HttpString> BODYLESS =
      ImmutableSet.of(Methods.GET, Methods.HEAD, Methods.DELETE);

  private final ConnectionPool pool;
  private final HttpWorker worker;
  private final UpstreamAddress address;
  private final UpstreamRequest request;
  private final AnswerTimeout timeout;
  private final ConnectionUse use;
  private final LongSupplier clock;
  private final ResponseHandler handler;
  private final AtomicBoolean settled = new AtomicBoolean();
  private final Object lending = new Object();
  private final XnioIoThread timerThread;

  private volatile PooledConnection lent;
  private volatile XnioExecutor.Key timer;
  private volatile long lastActivity;
  private boolean requestDone;
  private boolean wasUsed;
  private boolean retried;
  private long writtenBefore;

  UpstreamExchange(
      HttpWorker worker,
      ConnectionPool pool,
      UpstreamAddress address,
      UpstreamRequest request,
      AnswerTimeout timeout,
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
    failFromOutside(FailureCause.CONNECTION_LOST, "given up");
  }

  @Override
  public boolean abandoned() {
    return settled.get();
  }

  @Override
  public boolean urgent() {
    return use == ConnectionUse.CONTROL;
  }

  @Override
  public boolean acceptsUsed() {
    return !retried;
  }

  @Override
  public void unavailable(String detail) {
    settle(UpstreamFailure.notSent(FailureCause.CONNECT_FAILED, detail));
  }

  @Override
  public void ready(PooledConnection connection) {
    connection.connection().getIoThread().execute(() -> send(connection));
  }

  private void send(PooledConnection connection) {
    if (!request.allowed().getAsBoolean()) {
      unavailable("no longer allowed");
    }
    if (!lend(connection)) {
      connection.release(true);
      return;
    }
    wasUsed = connection.markUsed();
    writtenBefore = written(connection);
    if (!connection.isOpen()) {
      lost(connection, "closed before use");
      return;
    }
    connection.connection().sendRequest(clientRequest(), new RequestCallback(connection));
  }

  private boolean lend(PooledConnection connection) {
    synchronized (lending) {
      if (settled.get()) {
        return false;
      }
      lent = connection;
      return true;
    }
  }

  private ClientRequest clientRequest() {
    ClientRequest wire =
        new ClientRequest()
            .setMethod(request.method())
            .setPath(request.target())
            .setProtocol(Protocols.HTTP_1_1);
    HeaderMap headers = wire.getRequestHeaders();
    request.headers().forEach(headers::add);
    if (!headers.contains(Headers.HOST)) {
      headers.put(Headers.HOST, address.hostHeader());
    }
    if (request.body().length > 0 || !BODYLESS.contains(request.method())) {
      headers.put(Headers.CONTENT_LENGTH, request.body().length);
    }
    return wire;
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
        requestDone = true;
      } else {
        finishFlush(connection, channel);
      }
    } catch (IOException e) {
      lost(connection, String.valueOf(e.getMessage()));
    }
  }

  private void finishFlush(PooledConnection connection, StreamSinkChannel channel) {
    channel
        .getWriteSetter()
        .set(
            ChannelListeners.<StreamSinkChannel>flushingChannelListener(
                c -> requestDone = true,
                (c, e) -> lost(connection, String.valueOf(e.getMessage()))));
    channel.resumeWrites();
  }

  private void received(PooledConnection connection, ClientExchange exchange) {
    if (settled.get()) {
      return;
    }
    ClientResponse response = exchange.getResponse();
    touch();
    handler.onHeaders(response.getResponseCode(), response.getResponseHeaders());
    StreamSourceChannel channel = exchange.getResponseChannel();
    channel.getReadSetter().set(c -> readBody(connection, c));
    readBody(connection, channel);
  }

  private void readBody(PooledConnection connection, StreamSourceChannel channel) {
    try (PooledByteBuffer pooled = worker.buffers().allocate()) {
      ByteBuffer part = pooled.getBuffer();
      while (!settled.get()) {
        part.clear();
        int n = channel.read(part);
        if (n == 0) {
          channel.resumeReads();
          return;
        }
        if (n < 0) {
          complete();
          return;
        }
        touch();
        part.flip();
        if (!handler.onBody(part)) {
          settle(UpstreamFailure.mayHaveRun(FailureCause.BAD_ANSWER, "unusable answer"));
        }
      }
    } catch (IOException e) {
      lost(connection, String.valueOf(e.getMessage()));
    }
  }

  private void complete() {
    if (!settled.compareAndSet(false, true)) {
      return;
    }
    stopTimer();
    lent.release(requestDone);
    handler.onEnd();
  }

  private void lost(PooledConnection connection, String detail) {
    if (connection != lent || settled.get()) {
      return;
    }
    boolean nothingSent = written(connection) == writtenBefore;
    if (nothingSent && wasUsed && !retried) {
      retried = true;
      takeBack();
      IoUtils.safeClose(connection.connection());
      pool.acquire(this);
      return;
    }
    fail(FailureCause.CONNECTION_LOST, detail);
  }

  private void takeBack() {
    synchronized (lending) {
      lent = null;
    }
  }

  private void failFromOutside(FailureCause cause, String detail) {
    PooledConnection current;
    boolean first = false;
    synchronized (lending) {
      current = lent;
      if (current == null) {
        first = settled.compareAndSet(false, true);
      }
    }
    if (current != null) {
      current.connection().getIoThread().execute(() -> fail(cause, detail));
    } else if (first) {
      stopTimer();
      handler.onFailure(UpstreamFailure.notSent(FailureCause.CONNECT_FAILED, detail));
    }
  }

  private void fail(FailureCause cause, String detail) {
    PooledConnection current = lent;
    boolean nothingSent = current == null || written(current) == writtenBefore;
    settle(
        nothingSent
            ? UpstreamFailure.notSent(cause, detail)
            : UpstreamFailure.mayHaveRun(cause, detail));
  }

  private void settle(UpstreamFailure failure) {
    if (!settled.compareAndSet(false, true)) {
      return;
    }
    stopTimer();
    PooledConnection current = lent;
    if (current != null) {
      current.reset();
    }
    handler.onFailure(failure);
  }

  private static long written(PooledConnection connection) {
    return connection.connection().getStatistics().getWritten();
  }

  private void touch() {
    lastActivity = clock.getAsLong();
  }

  private void armTimer(long nanos) {
    timer = timerThread.executeAfter(this::timerFired, Math.max(1, nanos), TimeUnit.NANOSECONDS);
  }

  private void stopTimer() {
    XnioExecutor.Key current = timer;
    if (current != null) {
      current.remove();
    }
  }

  private void timerFired() {
    if (settled.get()) {
      return;
    }
    long left = timeout.nanos() - (clock.getAsLong() - lastActivity);
    if (timeout.kind() == AnswerTimeout.Kind.SILENCE && left > 0) {
      armTimer(left);
      return;
    }
    failFromOutside(FailureCause.TIMED_OUT, "no answer in time");
  }

  /** Goes on once the request is accepted by the connection. */
  private final class RequestCallback implements ClientCallback<ClientExchange> {
    private final PooledConnection connection;

    RequestCallback(PooledConnection connection) {
      this.connection = connection;
    }

    @Override
    public void completed(ClientExchange exchange) {
      exchange.setResponseListener(new ResponseCallback(connection));
      if (request.body().length == 0) {
        requestDone = true;
      } else {
        writeBody(connection, exchange.getRequestChannel());
      }
    }

    @Override
    public void failed(IOException e) {
      lost(connection, String.valueOf(e.getMessage()));
    }
  }

  /** Goes on once the headers of the answer are there. */
  private final class ResponseCallback implements ClientCallback<ClientExchange> {
    private final PooledConnection connection;

    ResponseCallback(PooledConnection connection) {
      this.connection = connection;
    }

    @Override
    public void completed(ClientExchange exchange) {
      received(connection, exchange);
    }

    @Override
    public void failed(IOException e) {
      lost(connection, String.valueOf(e.getMessage()));
    }
  }
}
