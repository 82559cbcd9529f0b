/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.HttpString;
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
    String name = method + " " + path;
    return caller
        .call(new HttpRequestData(method, path, body))
        .handle(
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
