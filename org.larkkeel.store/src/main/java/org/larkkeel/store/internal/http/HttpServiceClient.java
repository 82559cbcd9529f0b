/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.StringWriteChannelListener;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.larkkeel.store.HttpClientOptions;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.internal.http.HttpCallException.Sent;
import org.xnio.XnioWorker;

/**
 * A client of one HTTP service, over a pool of connections. Thread-safe. Futures complete on the
 * scheduler; they fail with {@link HttpCallException} if no complete response is received.
 */
public final class HttpServiceClient implements AutoCloseable {
  /** The maximum duration of an answer whose bytes keep arriving. */
  private static final Duration MAX_TRANSFER = Duration.ofSeconds(20);

  private final Connector connector;
  private final ConnectionPool pool;
  private final Scheduler scheduler;
  private final HttpClientOptions options;

  /** Creates a client whose connections use the I/O threads of a worker. */
  public HttpServiceClient(HttpClientOptions options, XnioWorker worker, Scheduler scheduler) {
    this.options = options;
    this.scheduler = scheduler;
    this.connector = new Connector(options, worker, scheduler);
    this.pool = new ConnectionPool(connector);
  }

  /**
   * Sends a request on a pooled connection; the future completes with the complete response.
   *
   * <p>The timeout of the options is that for the begin of the response and for each pause within
   * it: how long a large response takes depends on the link, and beginning it anew would only load
   * the link more.
   */
  public CompletableFuture<HttpReply> call(HttpRequestData request) {
    Call c = new Call(request, pool, options.timeout());
    scheduler.execute(c::start);
    return c.result;
  }

  /**
   * Sends a request that may wait for a long time. The call uses a connection of its own, which is
   * closed at the end of the call.
   *
   * @param request the request
   * @param timeout the maximum time until the begin of the response
   * @return the call, which can be cancelled by closing it
   */
  public PendingCall<HttpReply> callOnOwnConnection(HttpRequestData request, Duration timeout) {
    Call c = new Call(request, new SingleUseConnections(connector), timeout);
    scheduler.execute(c::start);
    return new PendingCall<>(c.result, () -> scheduler.execute(c::cancel), () -> c.receiving);
  }

  /**
   * Closes the idle pooled connections; called on the scheduler. Connections to a service tend to
   * become unresponsive together: after one produced no response, a call on another might wait for
   * its full timeout without a response.
   */
  void closeIdleConnections() {
    pool.closeIdle();
  }

  /** Returns the connector, for calls that use a connection of their own. */
  Connector connector() {
    return connector;
  }

  @Override
  public void close() {
    scheduler.execute(pool::close);
  }

  /**
   * One call. Its fields are confined to the scheduler, except that status, headers and body belong
   * to the I/O thread until the end of the response.
   */
  private final class Call implements ResponseReader.Sink {
    final CompletableFuture<HttpReply> result = new CompletableFuture<>();
    private final HttpRequestData request;
    private final ConnectionSource connections;
    private final Duration timeout;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private CompletableFuture<ClientConnection> acquiring;
    private ClientConnection connection;
    private final Runnable workerEnded =
        () -> failed(new IOException("the I/O threads have ended"));
    private Scheduler.Timer timer;
    private long firstByteNanos;
    private volatile long lastByteNanos;

    /** Whether the response has begun. */
    private volatile boolean receiving;

    private int status;
    private HeaderMap headers = new HeaderMap();

    Call(HttpRequestData request, ConnectionSource connections, Duration timeout) {
      this.request = request;
      this.connections = connections;
      this.timeout = timeout;
    }

    void start() {
      timer = scheduler.schedule(timeout, this::timedOut);
      connector.termination().add(workerEnded);
      acquiring = connections.acquire();
      acquiring.whenComplete(this::acquired);
    }

    private void acquired(ClientConnection c, Throwable failure) {
      if (failure != null) {
        finish(null, failure);
        return;
      }
      connection = c;
      ClientCallback<ClientExchange> sent =
          new ClientCallback<>() {
            @Override
            public void completed(ClientExchange x) {
              x.setResponseListener(Call.this.responseListener());
              if (!request.body().isEmpty()) {
                new StringWriteChannelListener(request.body(), StandardCharsets.UTF_8)
                    .setup(x.getRequestChannel());
              }
            }

            @Override
            public void failed(IOException e) {
              Call.this.failed(e);
            }
          };
      Connector.send(c, request.toClientRequest(options), sent);
    }

    private ClientCallback<ClientExchange> responseListener() {
      return new ClientCallback<>() {
        @Override
        public void completed(ClientExchange x) {
          status = x.getResponse().getResponseCode();
          headers = x.getResponse().getResponseHeaders();
          firstByteNanos = scheduler.nanoTime();
          lastByteNanos = firstByteNanos;
          receiving = true;
          new ResponseReader(Call.this).start(x.getResponseChannel());
        }

        @Override
        public void failed(IOException e) {
          Call.this.failed(e);
        }
      };
    }

    @Override
    public void bytes(ByteBuffer part) throws IOException {
      if (body.size() + part.remaining() > options.maxBodyBytes()) {
        throw new IOException(
            "the response body is larger than " + options.maxBodyBytes() + " bytes");
      }
      lastByteNanos = scheduler.nanoTime();
      body.write(part.array(), part.arrayOffset() + part.position(), part.remaining());
    }

    @Override
    public void end() {
      scheduler.execute(() -> finish(new HttpReply(status, headers, body.toByteArray()), null));
    }

    @Override
    public void failed(IOException e) {
      scheduler.execute(() -> fail(String.valueOf(e.getMessage())));
    }

    private void timedOut() {
      if (!receiving) {
        abort("no response within " + timeout);
        return;
      }
      Duration pause = Duration.ofNanos(scheduler.nanoTime() - lastByteNanos);
      Duration maxPause = options.timeout();
      if (pause.compareTo(maxPause) >= 0) {
        abort("no byte of the response within " + maxPause);
      } else if (scheduler.nanoTime() - firstByteNanos > MAX_TRANSFER.toNanos()) {
        abort("no complete response within " + MAX_TRANSFER);
      } else {
        timer = scheduler.schedule(maxPause.minus(pause), this::timedOut);
      }
    }

    /** Ends the call, whose response is no longer needed. */
    void cancel() {
      abort("cancelled by the client");
    }

    private void abort(String detail) {
      if (result.isDone()) {
        return;
      }
      closeIdleConnections();
      fail(detail);
    }

    private void fail(String detail) {
      Sent sent = connection == null ? Sent.NO : Sent.MAYBE;
      acquiring.cancel(false);
      finish(null, new HttpCallException(sent, detail));
    }

    private void finish(HttpReply reply, Throwable failure) {
      if (result.isDone()) {
        return;
      }
      timer.cancel();
      connector.termination().remove(workerEnded);
      if (connection != null) {
        connections.release(connection, failure == null);
      }
      if (failure != null) {
        result.completeExceptionally(failure);
      } else {
        result.complete(reply);
      }
    }
  }
}
