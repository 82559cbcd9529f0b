/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Tests of {@link HttpObjectApi} with answers that are truncated, late, lost or refused. */
public class HttpObjectApiTest {
  private static final ObjectKey KEY = new ObjectKey("test", "one");
  private static final String OBJECT =
      "{\"kind\":\"T\",\"metadata\":{\"name\":\"one\",\"resourceVersion\":\"7\"},"
          + "\"spec\":{\"a\":1}}";

  /** A scripted server and a client, which are closed after each test. */
  private static class Rig {
    ScriptedServer server;
    ExecutorScheduler scheduler;
    XnioWorker worker;
    HttpObjectApi api;

    /** Starts a server and a client. */
    @BeforeMethod
    public void open() throws IOException {
      server = new ScriptedServer();
      scheduler = new ExecutorScheduler("test");
      worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
      api = client(Duration.ofSeconds(20));
    }

    HttpObjectApi client(Duration timeout) {
      HttpClientOptions options =
          HttpClientOptions.of(server.uri())
              .withTimeout(timeout)
              .withToken(() -> Optional.of("secret"));
      return new HttpObjectApi(options, worker, scheduler);
    }

    /** Stops the server and the client. */
    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
      api.close();
      server.close();
      worker.shutdownNow();
      scheduler.close();
    }

    static <T> T await(CompletableFuture<T> f) throws Exception {
      return f.get(30, TimeUnit.SECONDS);
    }

    static ObjectApiFailure failure(CompletableFuture<?> f) throws Exception {
      try {
        f.get(30, TimeUnit.SECONDS);
      } catch (ExecutionException e) {
        return ObjectApiException.failureOf(e.getCause()).orElseThrow();
      }
      throw new AssertionError("no failure");
    }

    static ObjectNode spec() {
      return JsonNodeFactory.instance.objectNode().put("a", "ñ");
    }
  }

  /** Complete answers. */
  public static class Answered extends Rig {

    @Test
    public void createSendsTheObjectAndReadsItBack() throws Exception {
      server.then(ScriptedServer.answer(201, "", OBJECT));
      StoredObject o = await(api.create(KEY, "T", spec()));
      assertEquals(o.resourceVersion(), new StoreVersion(0, 7));
      assertEquals(o.spec().path("a").asInt(), 1);
      String request = server.nextRequest();
      assertTrue(request.startsWith("POST /apis/larkkeel.org/v1/test HTTP/1.1"), request);
      assertTrue(request.contains("Bearer secret"), request);
      assertTrue(
          request.endsWith("\"metadata\":{\"name\":\"one\"},\"spec\":{\"a\":\"ñ\"}}"), request);
    }

    @Test
    public void errorStatusesMapToFailures() throws Exception {
      server.then(
          ScriptedServer.answer(404, "", "{}"),
          ScriptedServer.answer(409, "", "{\"reason\":\"AlreadyExists\"}"),
          ScriptedServer.answer(409, "", "{\"reason\":\"Conflict\"}"),
          ScriptedServer.answer(413, "", "{}"),
          ScriptedServer.answer(429, "Retry-After: 3\r\n", "{}"),
          ScriptedServer.answer(503, "", "{}"),
          ScriptedServer.answer(500, "", "{}"),
          ScriptedServer.answer(403, "", "{}"));
      assertEquals(failure(api.get(KEY)), new ObjectApiFailure.NotFound());
      assertEquals(failure(api.create(KEY, "T", spec())), new ObjectApiFailure.AlreadyExists());
      assertEquals(
          failure(api.update(KEY, "T", spec(), new StoreVersion(0, 1))),
          new ObjectApiFailure.Conflict());
      assertEquals(failure(api.create(KEY, "T", spec())), new ObjectApiFailure.TooLarge());
      assertEquals(failure(api.get(KEY)), new ObjectApiFailure.Throttled(Duration.ofSeconds(3)));
      assertEquals(failure(api.create(KEY, "T", spec())), new ObjectApiFailure.Unavailable());
      assertEquals(failure(api.create(KEY, "T", spec())), new ObjectApiFailure.OutcomeUnknown());
      assertEquals(failure(api.get(KEY)), new ObjectApiFailure.Refused(403));
    }
  }

  /** Missing and truncated answers. */
  public static class Broken extends Rig {

    @Test
    public void truncatedAnswerHasUnknownOutcomeForWritesOnly() throws Exception {
      String half = "HTTP/1.1 201 X\r\nCut: yes\r\nContent-Length: 500\r\n\r\n{\"kind\"";
      server.then(ScriptedServer.HANG_UP, half, ScriptedServer.HANG_UP, half);
      assertEquals(failure(api.create(KEY, "T", spec())), new ObjectApiFailure.OutcomeUnknown());
      assertEquals(failure(api.create(KEY, "T", spec())), new ObjectApiFailure.OutcomeUnknown());
      assertEquals(failure(api.get(KEY)), new ObjectApiFailure.Unavailable());
      assertEquals(failure(api.get(KEY)), new ObjectApiFailure.Unavailable());
    }

    @Test
    public void unreadableAnswerToWriteHasAnUnknownOutcome() throws Exception {
      server.then(ScriptedServer.answer(201, "", "{\"kind\":"));
      assertEquals(failure(api.create(KEY, "T", spec())), new ObjectApiFailure.OutcomeUnknown());
    }

    @Test
    public void unansweredCallEndsWithTheTimeout() throws Exception {
      server.then(ScriptedServer.SILENCE, ScriptedServer.SILENCE);
      HttpObjectApi shortTimeoutApi = client(Duration.ofMillis(200));
      assertEquals(
          failure(shortTimeoutApi.delete(KEY, new StoreVersion(0, 1))),
          new ObjectApiFailure.OutcomeUnknown());
      assertEquals(failure(shortTimeoutApi.get(KEY)), new ObjectApiFailure.Unavailable());
      shortTimeoutApi.close();
    }

    @Test
    public void timedOutCallResetsItsConnection() throws Exception {
      server.then(ScriptedServer.LISTEN);
      HttpObjectApi shortTimeoutApi = client(Duration.ofMillis(200));
      assertEquals(failure(shortTimeoutApi.get(KEY)), new ObjectApiFailure.Unavailable());
      assertTrue(server.isResetSoon());
      shortTimeoutApi.close();
    }

    /**
     * Guards against retrying over one unresponsive pooled connection after the other, each for a
     * full timeout of 1 s. Connections become unresponsive together, so a call without an answer
     * must discard all pooled connections, not only its own.
     */
    @Test
    public void timedOutCallDiscardsPooledConnections() throws Exception {
      HttpObjectApi shortTimeoutApi = client(Duration.ofMillis(500));
      String found = ScriptedServer.answer(200, "", OBJECT);
      server.then(found, found);
      CompletableFuture<StoredObject> one = shortTimeoutApi.get(KEY);
      CompletableFuture<StoredObject> other = shortTimeoutApi.get(KEY);
      await(one);
      await(other);
      assertEquals(server.connections(), 2);
      server.then(ScriptedServer.SILENCE);
      assertEquals(failure(shortTimeoutApi.get(KEY)), new ObjectApiFailure.Unavailable());
      server.then(found);
      await(shortTimeoutApi.get(KEY));
      assertEquals(server.connections(), 3);
      shortTimeoutApi.close();
    }

    @Test
    public void refusedConnectionHadNoEffect() throws Exception {
      ScriptedServer closedServer = new ScriptedServer();
      closedServer.close();
      HttpObjectApi a =
          new HttpObjectApi(HttpClientOptions.of(closedServer.uri()), worker, scheduler);
      assertEquals(failure(a.create(KEY, "T", spec())), new ObjectApiFailure.Unavailable());
      a.close();
    }
  }

  /** Watches. */
  public static class Watching extends Rig {

    @Test
    public void linesBecomeEventsInOrder() throws Exception {
      String body =
          "{\"type\":\"ADDED\",\"object\":"
              + OBJECT
              + "}\n{\"type\":\"DELETED\",\"object\":"
              + OBJECT
              + "}\n"
              + "{\"type\":\"BOOKMARK\",\"object\":{\"metadata\":{\"resourceVersion\":\"9\"}}}\n";
      server.then(ScriptedServer.answer(200, "", body));
      BlockingQueue<WatchEvent> events = new LinkedBlockingQueue<>();
      Watch w = api.watch("test", new StoreVersion(0, 5), Duration.ofSeconds(30), events::add);
      await(w.ended());
      List<Class<?>> types = events.stream().<Class<?>>map(Object::getClass).toList();
      assertEquals(
          types,
          List.of(WatchEvent.Changed.class, WatchEvent.Deleted.class, WatchEvent.Bookmark.class));
      assertTrue(server.nextRequest().contains("?watch=true&resourceVersion=5&timeoutSeconds=30"));
    }

    @Test
    public void closedWatchResetsItsConnection() throws Exception {
      server.then(ScriptedServer.LISTEN);
      Watch w = api.watch("test", new StoreVersion(0, 5), Duration.ofSeconds(30), e -> {});
      server.nextRequest();
      w.close();
      assertTrue(server.isResetSoon());
    }

    @Test
    public void refusedAndTruncatedWatchesFail() throws Exception {
      server.then(
          ScriptedServer.answer(410, "", "{}"),
          "HTTP/1.1 200 X\r\nCut: yes\r\nContent-Length: 99\r\n\r\n{");
      Watch expired = api.watch("test", new StoreVersion(0, 5), Duration.ofSeconds(30), e -> {});
      assertEquals(failure(expired.ended()), new ObjectApiFailure.Expired());
      Watch cut = api.watch("test", new StoreVersion(0, 5), Duration.ofSeconds(30), e -> {});
      assertEquals(failure(cut.ended()), new ObjectApiFailure.Unavailable());
    }
  }
}
