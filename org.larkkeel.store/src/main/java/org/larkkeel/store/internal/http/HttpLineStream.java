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
import io.undertow.util.StatusCodes;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.internal.http.HttpCallException.Sent;
import org.xnio.IoUtils;

/**
 * A call whose response is a stream of lines, on a connection of its own. Lines are delivered on
 * the scheduler. No line is delivered after {@link #close()} has taken effect there.
 */
final class HttpLineStream implements ResponseReader.Sink {
  private static final int MAX_LINE_BYTES = 2 << 20;

  private final Connector connector;
  private final Scheduler scheduler;
  private final HttpRequestData request;
  private final Consumer<byte[]> listener;
  private final CompletableFuture<HttpReply> ended = new CompletableFuture<>();
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private volatile int status;
  private ClientConnection connection;
  private Scheduler.Timer timer;
  private final Runnable workerEnded = () -> failed(new IOException("the I/O threads have ended"));

  HttpLineStream(Connector connector, HttpRequestData request, Consumer<byte[]> listener) {
    this.connector = connector;
    this.scheduler = connector.scheduler();
    this.request = request;
    this.listener = listener;
  }

  /**
   * Opens the stream.
   *
   * @param timeout the maximum duration of the stream, after which it fails
   * @return completes at the end of the stream; if the service refused the call, with the status
   *     and the body of its response
   */
  CompletableFuture<HttpReply> start(Duration timeout) {
    scheduler.execute(
        () -> {
          timer =
              scheduler.schedule(
                  timeout, () -> fail(Sent.MAYBE, "the stream did not end within " + timeout));
          connector.termination().add(workerEnded);
          connector.connect().whenComplete(this::connected);
        });
    return ended;
  }

  void close() {
    scheduler.execute(() -> finish(new HttpReply(StatusCodes.OK, new HeaderMap(), new byte[0])));
  }

  private void connected(ClientConnection c, Throwable failure) {
    if (failure != null) {
      fail(Sent.NO, failure.getMessage());
      return;
    }
    if (ended.isDone()) {
      IoUtils.safeClose(c);
      return;
    }
    connection = c;
    Connector.send(c, request.toClientRequest(connector.options()), new RequestCallback());
  }

  @Override
  public void bytes(ByteBuffer part) throws IOException {
    while (part.hasRemaining()) {
      byte b = part.get();
      if (b == '\n' && status == StatusCodes.OK) {
        byte[] completeLine = line.toByteArray();
        line.reset();
        scheduler.execute(() -> deliver(completeLine));
      } else {
        line.write(b);
      }
    }
    if (line.size() > MAX_LINE_BYTES) {
      throw new IOException("a line of the response is longer than " + MAX_LINE_BYTES + " bytes");
    }
  }

  @Override
  public void end() {
    HttpReply reply = new HttpReply(status, new HeaderMap(), line.toByteArray());
    scheduler.execute(() -> finish(reply));
  }

  @Override
  public void failed(IOException e) {
    scheduler.execute(
        () -> fail(connection == null ? Sent.NO : Sent.MAYBE, String.valueOf(e.getMessage())));
  }

  private void deliver(byte[] completeLine) {
    if (!ended.isDone() && completeLine.length > 0) {
      listener.accept(completeLine);
    }
  }

  private void finish(HttpReply reply) {
    release();
    ended.complete(reply);
  }

  private void fail(Sent sent, String detail) {
    if (ended.isDone()) {
      return;
    }
    release();
    ended.completeExceptionally(new HttpCallException(sent, detail));
  }

  private void release() {
    connector.termination().remove(workerEnded);
    if (timer != null) {
      timer.cancel();
    }
    if (connection != null) {
      Connector.reset(connection);
    }
  }

  /** Registers for the response when the request is sent. */
  private final class RequestCallback implements ClientCallback<ClientExchange> {
    @Override
    public void completed(ClientExchange x) {
      x.setResponseListener(new ResponseCallback());
    }

    @Override
    public void failed(IOException e) {
      HttpLineStream.this.failed(e);
    }
  }

  /** Starts reading the response body when the headers are received. */
  private final class ResponseCallback implements ClientCallback<ClientExchange> {
    @Override
    public void completed(ClientExchange x) {
      status = x.getResponse().getResponseCode();
      new ResponseReader(HttpLineStream.this).start(x.getResponseChannel());
    }

    @Override
    public void failed(IOException e) {
      HttpLineStream.this.failed(e);
    }
  }
}
