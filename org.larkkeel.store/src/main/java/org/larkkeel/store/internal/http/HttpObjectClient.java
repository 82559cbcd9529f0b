/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.internal.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.larkkeel.store.HttpClientOptions;
import org.larkkeel.store.ListQuery;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.ObjectPage;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.StoredObject;
import org.larkkeel.store.Watch;
import org.larkkeel.store.WatchEvent;
import org.larkkeel.store.internal.http.HttpFailures.Effect;
import org.xnio.XnioWorker;

/** The object API over HTTP: one method for each call. Thread-safe. */
public final class HttpObjectClient implements AutoCloseable {
  private static final String BASE = "/apis/larkkeel.org/v1/";

  /** Time beyond its timeout that the service has to end a watch. */
  private static final Duration WATCH_GRACE = Duration.ofSeconds(5);

  private final HttpServiceClient client;
  private final JsonHttpClient jsonClient;

  /**
   * Creates a client of the object API.
   *
   * @param options the address of the service, and limits
   * @param worker runs the I/O
   * @param scheduler completes the futures
   */
  public HttpObjectClient(HttpClientOptions options, XnioWorker worker, Scheduler scheduler) {
    this.client = new HttpServiceClient(options, worker, scheduler);
    this.jsonClient = new JsonHttpClient(client);
  }

  /** See {@link org.larkkeel.store.ObjectApi#get}. */
  public CompletableFuture<StoredObject> get(ObjectKey key) {
    return call(Effect.READ, Methods.GET, path(key), "", objectConverter(key));
  }

  /** See {@link org.larkkeel.store.ObjectApi#list}. */
  public CompletableFuture<ObjectPage> list(ListQuery q) {
    String path =
        BASE
            + q.collection()
            + "?limit="
            + q.limit()
            + "&prefix="
            + escape(q.prefix())
            + "&continue="
            + escape(q.continueToken());
    return call(Effect.READ, Methods.GET, path, "", o -> ObjectCodec.page(q.collection(), o));
  }

  /** See {@link org.larkkeel.store.ObjectApi#create}. */
  public CompletableFuture<StoredObject> create(ObjectKey key, String kind, JsonNode spec) {
    String body = ObjectCodec.toText(key, kind, spec, StoreVersion.NONE);
    return call(Effect.WRITE, Methods.POST, BASE + key.collection(), body, objectConverter(key));
  }

  /** See {@link org.larkkeel.store.ObjectApi#update}. */
  public CompletableFuture<StoredObject> update(
      ObjectKey key, String kind, JsonNode spec, StoreVersion version) {
    String body = ObjectCodec.toText(key, kind, spec, version);
    return call(Effect.WRITE, Methods.PUT, path(key), body, objectConverter(key));
  }

  /** See {@link org.larkkeel.store.ObjectApi#delete}. */
  public CompletableFuture<Void> delete(ObjectKey key, StoreVersion version) {
    String path = path(key) + "?resourceVersion=" + version.number();
    return call(Effect.WRITE, Methods.DELETE, path, "", o -> null);
  }

  /** See {@link org.larkkeel.store.ObjectApi#watch}. */
  public Watch watch(
      String collection, StoreVersion version, Duration timeout, Consumer<WatchEvent> listener) {
    String path =
        BASE
            + collection
            + "?watch=true&resourceVersion="
            + version.number()
            + "&timeoutSeconds="
            + Math.max(1, timeout.toSeconds());
    HttpWatch w = new HttpWatch(collection, listener, client);
    w.start(client.connector(), new HttpRequestData(Methods.GET, path, ""), timeout);
    return w;
  }

  @Override
  public void close() {
    client.close();
  }

  private <T> CompletableFuture<T> call(
      Effect effect, HttpString method, String path, String body, Function<JsonNode, T> converter) {
    return jsonClient.call(effect, method, path, body, converter);
  }

  private static Function<JsonNode, StoredObject> objectConverter(ObjectKey key) {
    return o -> ObjectCodec.object(key.collection(), o);
  }

  private static String path(ObjectKey key) {
    return BASE + key.collection() + "/" + key.name();
  }

  private static String escape(String s) {
    return URLEncoder.encode(s, StandardCharsets.UTF_8);
  }

  /** A watch whose events are the lines of one stream. */
  private static final class HttpWatch implements Watch {
    private final String collection;
    private final Consumer<WatchEvent> listener;
    private final HttpServiceClient client;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private HttpLineStream stream;

    HttpWatch(String collection, Consumer<WatchEvent> listener, HttpServiceClient client) {
      this.collection = collection;
      this.listener = listener;
      this.client = client;
    }

    void start(Connector connector, HttpRequestData request, Duration timeout) {
      stream = new HttpLineStream(connector, request, this::lineReceived);
      stream.start(timeout.plus(WATCH_GRACE)).whenComplete(this::streamEnded);
    }

    private void lineReceived(byte[] line) {
      WatchEvent e;
      try {
        e = ObjectCodec.event(collection, ObjectCodec.parse(line));
      } catch (ObjectApiException malformed) {
        ended.completeExceptionally(malformed);
        stream.close();
        return;
      }
      listener.accept(e);
    }

    private void streamEnded(HttpReply reply, Throwable failure) {
      String name = "watch " + collection;
      if (failure != null) {
        client.closeIdleConnections();
        ended.completeExceptionally(HttpFailures.of(Effect.READ, name, failure));
      } else if (reply.status() / 100 != 2) {
        ended.completeExceptionally(HttpFailures.of(Effect.READ, name, reply));
      } else {
        ended.complete(null);
      }
    }

    @Override
    public CompletableFuture<Void> ended() {
      return ended;
    }

    @Override
    public void close() {
      stream.close();
    }
  }
}
