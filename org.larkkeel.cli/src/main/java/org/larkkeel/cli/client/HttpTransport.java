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
 * Sends requests with Undertow's client, each over a new connection that is closed afterwards.
 *
 * <p>Safe for use by several threads. {@link #close} stops the I/O thread.
 */
final class HttpTransport implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 << 10;
  private static final String JSON_MEDIA_TYPE = "application/json";

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

  /** Sends a request and waits for the complete response. */
  HttpResponse send(Server server, HttpRequest request, Optional<String> token, Duration timeout)
      throws IOException {
    ClientRequest clientRequest = toClientRequest(server, request, token);
    CompletableFuture<HttpResponse> responseFuture = new CompletableFuture<>();
    UndertowClient.getInstance()
        .connect(
            callback(
                responseFuture,
                connection -> sendRequest(connection, clientRequest, request, responseFuture)),
            server.uri(),
            worker,
            server.isSecure() ? ssl : null,
            buffers,
            OptionMap.create(UndertowOptions.ENABLE_HTTP2, false));
    return await(responseFuture, timeout);
  }

  private static ClientRequest toClientRequest(
      Server server, HttpRequest request, Optional<String> token) {
    ClientRequest clientRequest =
        new ClientRequest().setMethod(new HttpString(request.method())).setPath(request.target());
    clientRequest.getRequestHeaders().put(Headers.HOST, server.authority());
    clientRequest.getRequestHeaders().put(Headers.ACCEPT, JSON_MEDIA_TYPE);
    token.ifPresent(
        t -> clientRequest.getRequestHeaders().put(Headers.AUTHORIZATION, "Bearer " + t));
    byte[] body = request.body().getBytes(StandardCharsets.UTF_8);
    if (body.length > 0) {
      clientRequest.getRequestHeaders().put(Headers.CONTENT_TYPE, JSON_MEDIA_TYPE);
    }
    clientRequest.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
    return clientRequest;
  }

  private void sendRequest(
      ClientConnection connection,
      ClientRequest clientRequest,
      HttpRequest request,
      CompletableFuture<HttpResponse> responseFuture) {
    CompletableFuture<?> unused =
        responseFuture.whenComplete((response, failure) -> IoUtils.safeClose(connection));
    connection.sendRequest(
        clientRequest,
        callback(responseFuture, exchange -> sendBody(exchange, request, responseFuture)));
  }

  private void sendBody(
      ClientExchange exchange,
      HttpRequest request,
      CompletableFuture<HttpResponse> responseFuture) {
    exchange.setResponseListener(
        callback(
            responseFuture, responseExchange -> readResponse(responseExchange, responseFuture)));
    new StringWriteChannelListener(request.body()).setup(exchange.getRequestChannel());
  }

  private void readResponse(
      ClientExchange exchange, CompletableFuture<HttpResponse> responseFuture) {
    int status = exchange.getResponse().getResponseCode();
    new StringReadChannelListener(buffers) {
      @Override
      protected void stringDone(String body) {
        responseFuture.complete(new HttpResponse(status, body));
      }

      @Override
      protected void error(IOException failure) {
        responseFuture.completeExceptionally(failure);
      }
    }.setup(exchange.getResponseChannel());
  }

  private static <T> ClientCallback<T> callback(
      CompletableFuture<HttpResponse> responseFuture, Consumer<T> next) {
    return new ClientCallback<>() {
      @Override
      public void completed(T result) {
        next.accept(result);
      }

      @Override
      public void failed(IOException failure) {
        responseFuture.completeExceptionally(failure);
      }
    };
  }

  private static HttpResponse await(
      CompletableFuture<HttpResponse> responseFuture, Duration timeout) throws IOException {
    try {
      return responseFuture.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      IOException failure = new IOException(Messages.NO_RESPONSE.formatted(timeout.toSeconds()), e);
      responseFuture.completeExceptionally(failure);
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
