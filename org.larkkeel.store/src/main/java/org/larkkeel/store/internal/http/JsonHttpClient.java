/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import java.util.function.Function;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.internal.http.HttpFailures.Effect;

/**
 * A client for calls with JSON bodies, whose failures are those of the object API.
 *
 * <p>Thread-safe. Futures complete on the scheduler of the {@link HttpServiceClient}; they fail
 * with {@link ObjectApiException} unless the response has a success status and can be parsed.
 */
public final class JsonHttpClient implements AutoCloseable {
  private final HttpServiceClient client;
  private final Consumer<HttpReply> observer;

  /** Creates a client over an HTTP client, which it closes with itself. */
  public JsonHttpClient(HttpServiceClient client) {
    this(client, reply -> {});
  }

  /**
   * Creates a client over an HTTP client, which it closes with itself, with an observer of the
   * responses.
   *
   * @param client the HTTP client
   * @param observer receives each complete response, whatever its status, before it is parsed;
   *     throws an {@link ObjectApiException} if the response must not be used
   */
  public JsonHttpClient(HttpServiceClient client, Consumer<HttpReply> observer) {
    this.client = client;
    this.observer = observer;
  }

  /**
   * Sends a request and parses the JSON response.
   *
   * @param effect whether the call may change an object
   * @param method the HTTP method
   * @param path the path and query
   * @param body the JSON text, empty for none
   * @param converter converts the response; throws an {@link ObjectApiException} if it is malformed
   * @return completes with the converted response
   */
  public <T> CompletableFuture<T> call(
      Effect effect, HttpString method, String path, String body, Function<JsonNode, T> converter) {
    return callRaw(effect, method, path, body, r -> converter.apply(ObjectCodec.parse(r.body())));
  }

  /** Like {@link #call}, but {@code converter} converts the complete response with its headers. */
  public <T> CompletableFuture<T> callRaw(
      Effect effect,
      HttpString method,
      String path,
      String body,
      Function<HttpReply, T> converter) {
    CompletableFuture<HttpReply> answer = client.call(new HttpRequestData(method, path, body));
    return convert(effect, method + " " + path, answer, converter);
  }

  /**
   * Sends a GET request to which the service may delay its response, on a connection of its own.
   *
   * @param path the path and query
   * @param timeout the maximum time until the begin of the response
   * @param converter converts the complete response, as in {@link #callRaw}; not called once the
   *     call is cancelled
   * @return the call, which can be cancelled by closing it
   */
  public <T> PendingCall<T> await(String path, Duration timeout, Function<HttpReply, T> converter) {
    HttpRequestData request = new HttpRequestData(Methods.GET, path, "");
    PendingCall<HttpReply> call = client.callOnOwnConnection(request, timeout);
    CompletableFuture<T> answer =
        convert(Effect.READ, Methods.GET + " " + path, call.answer(), converter);
    return new PendingCall<>(answer, call.cancelAction(), call.receiving());
  }

  private <T> CompletableFuture<T> convert(
      Effect effect,
      String name,
      CompletableFuture<HttpReply> answer,
      Function<HttpReply, T> converter) {
    return answer.handle(
        (reply, failure) -> {
          if (failure != null) {
            throw new CompletionException(HttpFailures.of(effect, name, failure));
          }
          if (!isAcceptedByObserver(reply)) {
            throw new CompletionException(
                HttpFailures.of(
                    effect, name, new IOException("the observer rejected the response")));
          }
          if (reply.status() / 100 != 2) {
            throw new CompletionException(HttpFailures.of(effect, name, reply));
          }
          return convert(effect, name, reply, converter);
        });
  }

  private static <T> T convert(
      Effect effect, String name, HttpReply reply, Function<HttpReply, T> converter) {
    try {
      return converter.apply(reply);
    } catch (ObjectApiException e) {
      throw new CompletionException(effect == Effect.READ ? e : HttpFailures.of(effect, name, e));
    }
  }

  private boolean isAcceptedByObserver(HttpReply reply) {
    try {
      observer.accept(reply);
      return true;
    } catch (ObjectApiException e) {
      return false;
    }
  }

  @Override
  public void close() {
    client.close();
  }
}
