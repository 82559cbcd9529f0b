/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.client;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.protocols.ssl.UndertowXnioSsl;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StringReadChannelListener;
import io.undertow.util.StringWriteChannelListener;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import javax.net.ssl.SSLContext;
import org.larkkeel.cli.errors.Messages;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Sends single requests by Undertow's client, each over its own connection.
 *
 * <p>Safe for use by several threads. Closing ends the I/O thread.
 */
final class HttpTransport implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 << 10;
  private static final String JSON = "application/json";

  private final XnioWorker worker;
  private final ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES);
  private final UndertowXnioSsl ssl;

  HttpTransport(SSLContext tls) throws IOException {
    worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 1)
                    .set(Options.THREAD_DAEMON, true)
                    .getMap());
    ssl = new UndertowXnioSsl(worker.getXnio(), OptionMap.EMPTY, tls);
  }

  /** Sends a request and waits for the whole answer. */
  HttpAnswer send(Server server, HttpCall call, Optional<String> token, Duration timeout)
      throws IOException {
    ClientRequest request = request(server, call, token);
    CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
    UndertowClient.getInstance()
        .connect(
            callback(answer, connection -> exchange(connection, request, call, answer)),
            server.uri(),
            worker,
            server.isSecure() ? ssl : null,
            buffers,
            OptionMap.create(UndertowOptions.ENABLE_HTTP2, false));
    return await(answer, timeout);
  }

  private static ClientRequest request(Server server, HttpCall call, Optional<String> token) {
    ClientRequest request =
        new ClientRequest().setMethod(new HttpString(call.method())).setPath(call.target());
    request.getRequestHeaders().put(Headers.HOST, server.authority());
    request.getRequestHeaders().put(Headers.ACCEPT, JSON);
    token.ifPresent(t -> request.getRequestHeaders().put(Headers.AUTHORIZATION, "Bearer " + t));
    byte[] body = call.body().getBytes(StandardCharsets.UTF_8);
    if (body.length > 0) {
      request.getRequestHeaders().put(Headers.CONTENT_TYPE, JSON);
    }
    request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
    return request;
  }

  private void exchange(
      ClientConnection connection,
      ClientRequest request,
      HttpCall call,
      CompletableFuture<HttpAnswer> answer) {
    CompletableFuture<?> unused =
        answer.whenComplete((done, failure) -> IoUtils.safeClose(connection));
    connection.sendRequest(request, callback(answer, exchange -> start(exchange, call, answer)));
  }

  private void start(ClientExchange exchange, HttpCall call, CompletableFuture<HttpAnswer> answer) {
    exchange.setResponseListener(callback(answer, response -> read(response, answer)));
    new StringWriteChannelListener(call.body()).setup(exchange.getRequestChannel());
  }

  private void read(ClientExchange exchange, CompletableFuture<HttpAnswer> answer) {
    int status = exchange.getResponse().getResponseCode();
    new StringReadChannelListener(buffers) {
      @Override
      protected void stringDone(String body) {
        answer.complete(new HttpAnswer(status, body));
      }

      @Override
      protected void error(IOException failure) {
        answer.completeExceptionally(failure);
      }
    }.setup(exchange.getResponseChannel());
  }

  private static <T> ClientCallback<T> callback(
      CompletableFuture<HttpAnswer> answer, Consumer<T> next) {
    return new ClientCallback<>() {
      @Override
      public void completed(T result) {
        next.accept(result);
      }

      @Override
      public void failed(IOException failure) {
        answer.completeExceptionally(failure);
      }
    };
  }

  private static HttpAnswer await(CompletableFuture<HttpAnswer> answer, Duration timeout)
      throws IOException {
    try {
      return answer.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      IOException failure = new IOException(Messages.NO_ANSWER.formatted(timeout.toSeconds()), e);
      answer.completeExceptionally(failure);
      throw failure;
    } catch (ExecutionException e) {
      throw new IOException(e.getCause().getMessage(), e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  @Override
  public void close() {
    worker.shutdownNow();
  }
}
