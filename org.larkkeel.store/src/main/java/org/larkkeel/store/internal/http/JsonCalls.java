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
import org.larkkeel.store.internal.http.Failures.Effect;

/**
 * Calls with JSON bodies, whose failures are those of the object API.
 *
 * <p>Safe for use by several threads; futures complete on the caller's scheduler, with {@link
 * ObjectApiException} where there is no success.
 */
public final class JsonCalls implements AutoCloseable {
  private final HttpCaller caller;
  private final Consumer<HttpReply> observer;

  /** Calls by a caller, which it closes. */
  public JsonCalls(HttpCaller caller) {
    this(caller, reply -> {});
  }

  /**
   * As the other.
   *
   * @param observer is shown each whole answer, whatever it is, before it is read; throws an {@link
   *     ObjectApiException} if it must not be read
   */
  public JsonCalls(HttpCaller caller, Consumer<HttpReply> observer) {
    this.caller = caller;
    this.observer = observer;
  }

  /**
   * Calls.
   *
   * @param effect whether it may change anything
   * @param method the method
   * @param path path and query
   * @param body the JSON text; empty for none
   * @param read reads the answer; throws an {@link ObjectApiException} if it can not be read
   */
  public <T> CompletableFuture<T> call(
      Effect effect, HttpString method, String path, String body, Function<JsonNode, T> read) {
    return callRaw(effect, method, path, body, r -> read.apply(ObjectCodec.parse(r.body())));
  }

  /** As {@link #call}, for a reader of the whole answer. */
  public <T> CompletableFuture<T> callRaw(
      Effect effect, HttpString method, String path, String body, Function<HttpReply, T> read) {
    CompletableFuture<HttpReply> answer = caller.call(new HttpRequestData(method, path, body));
    return read(effect, method + " " + path, answer, read);
  }

  /**
   * Reads something for which the service may wait.
   *
   * @param path path and query
   * @param timeout the longest time until the whole answer
   * @param read as in {@link #call}; of a call that is given up it is never called
   */
  public <T> PendingCall<T> await(String path, Duration timeout, Function<HttpReply, T> read) {
    HttpRequestData request = new HttpRequestData(Methods.GET, path, "");
    PendingCall<HttpReply> call = caller.callAlone(request, timeout);
    CompletableFuture<T> answer = read(Effect.READ, Methods.GET + " " + path, call.answer(), read);
    return new PendingCall<>(answer, call.abandonment());
  }

  private <T> CompletableFuture<T> read(
      Effect effect,
      String name,
      CompletableFuture<HttpReply> answer,
      Function<HttpReply, T> read) {
    return answer.handle(
        (reply, broken) -> {
          if (broken != null) {
            throw new CompletionException(Failures.of(effect, name, broken));
          }
          if (!isUsable(reply)) {
            throw new CompletionException(
                Failures.of(effect, name, new IOException("the answer can not be read")));
          }
          if (reply.status() / 100 != 2) {
            throw new CompletionException(Failures.of(effect, name, reply));
          }
          return read(effect, name, reply, read);
        });
  }

  private static <T> T read(
      Effect effect, String name, HttpReply reply, Function<HttpReply, T> read) {
    try {
      return read.apply(reply);
    } catch (ObjectApiException e) {
      throw new CompletionException(effect == Effect.READ ? e : Failures.of(effect, name, e));
    }
  }

  private boolean isUsable(HttpReply reply) {
    try {
      observer.accept(reply);
      return true;
    } catch (ObjectApiException e) {
      return false;
    }
  }

  @Override
  public void close() {
    caller.close();
  }
}
