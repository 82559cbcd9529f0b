/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
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

  /** Calls by a caller, which it closes. */
  public JsonCalls(HttpCaller caller) {
    this.caller = caller;
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
    return callRaw(effect, method, path, body, b -> read.apply(ObjectCodec.parse(b)));
  }

  /** As {@link #call}, for a reader of the answer's bytes. */
  public <T> CompletableFuture<T> callRaw(
      Effect effect, HttpString method, String path, String body, Function<byte[], T> read) {
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
  public <T> PendingCall<T> await(String path, Duration timeout, Function<byte[], T> read) {
    HttpRequestData request = new HttpRequestData(Methods.GET, path, "");
    PendingCall<HttpReply> call = caller.callAlone(request, timeout);
    CompletableFuture<T> answer = read(Effect.READ, Methods.GET + " " + path, call.answer(), read);
    return new PendingCall<>(answer, call.abandonment());
  }

  private static <T> CompletableFuture<T> read(
      Effect effect, String name, CompletableFuture<HttpReply> answer, Function<byte[], T> read) {
    return answer.handle(
        (reply, broken) -> {
          if (broken != null) {
            throw new CompletionException(Failures.of(effect, name, broken));
          }
          if (reply.status() / 100 != 2) {
            throw new CompletionException(Failures.of(effect, name, reply));
          }
          return read(effect, name, reply, read);
        });
  }

  private static <T> T read(Effect effect, String name, HttpReply reply, Function<byte[], T> read) {
    try {
      return read.apply(reply.body());
    } catch (ObjectApiException e) {
      throw new CompletionException(effect == Effect.READ ? e : Failures.of(effect, name, e));
    }
  }

  @Override
  public void close() {
    caller.close();
  }
}
