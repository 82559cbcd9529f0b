/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.TimeUnit;
import org.larkkeel.standin.PlatformVerb;
import org.larkkeel.standin.internal.ObjectStore.Changes;
import org.larkkeel.standin.internal.ObjectStore.Event;
import org.larkkeel.standin.internal.ObjectStore.EventType;
import org.larkkeel.standin.internal.ObjectStore.Page;

/**
 * The HTTP API of the platform.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
public final class PlatformRoutes implements CallHandler {
  /** The collection of hosts, which is read-only for callers. */
  public static final String HOSTS = "hosts";

  /** Serializes objects and messages. */
  public static final ObjectMapper MAPPER = new ObjectMapper();

  private static final String OBJECTS_PREFIX = "/apis/larkkeel.org/v1/";
  private static final String WEIGHTS_PREFIX = "/weights/v1/";
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final int DEFAULT_PAGE_SIZE = 500;
  private static final long DEFAULT_WATCH_SECONDS = 30;
  private static final long MAX_WAIT_MILLIS = 5_000;

  private final ObjectStore store;
  private final WeightStore weights;
  private final PlatformFaults faults;
  private final Controls controls;

  private record Failure(String kind, String status, String reason, String message, int code) {}

  private record Target(String collection, String name) {}

  /**
   * Creates the routes.
   *
   * @param store the object store
   * @param weights the weight store
   * @param faults the injected faults and the call counts
   * @param controls the control endpoint
   */
  public PlatformRoutes(
      ObjectStore store, WeightStore weights, PlatformFaults faults, Controls controls) {
    this.store = store;
    this.weights = weights;
    this.faults = faults;
    this.controls = controls;
  }

  @Override
  public void handle(Call call) throws IOException, InterruptedException {
    if (controls.handle(call)) {
      return;
    }
    try {
      route(call);
    } catch (RefusedException e) {
      if (e.status() == 429 || e.status() == 503) {
        call.setAnswerHeader("Retry-After", "1");
      }
      call.reply(
          e.status(), new Failure("Status", "Failure", e.code(), e.getMessage(), e.status()));
    }
  }

  private void route(Call call) throws IOException, InterruptedException {
    if (call.path().startsWith(WEIGHTS_PREFIX)) {
      faults.admit(PlatformVerb.WEIGHTS);
      weights(call);
    } else if (call.path().startsWith(OBJECTS_PREFIX)) {
      Target target = target(call);
      PlatformVerb verb = verb(call, target);
      faults.admit(verb);
      if (verb.isWrite()) {
        write(call, verb, target);
      } else {
        read(call, verb, target);
      }
    } else {
      throw new RefusedException(404, "NotFound", "no such path");
    }
  }

  private void read(Call call, PlatformVerb verb, Target target)
      throws IOException, InterruptedException {
    switch (verb) {
      case GET -> call.reply(200, store.get(target.collection, target.name));
      case LIST -> list(call, target.collection);
      default -> watch(call, target.collection);
    }
  }

  private void list(Call call, String collection) throws IOException {
    int limit = (int) call.queryNumber("limit", DEFAULT_PAGE_SIZE);
    if (limit < 1) {
      throw new RefusedException(400, "BadRequest", "limit is " + limit + ": send 1 or more");
    }
    Page page =
        store.list(
            collection, call.query("prefix").orElse(""), call.query("continue").orElse(""), limit);
    ObjectNode answer = MAPPER.createObjectNode();
    answer
        .putObject("metadata")
        .put("resourceVersion", Long.toString(page.version()))
        .put("continue", page.next());
    ArrayNode items = answer.putArray("items");
    items.addAll(page.items());
    call.reply(200, answer);
  }

  private void write(Call call, PlatformVerb verb, Target target) throws IOException {
    if (target.collection.equals(HOSTS)) {
      throw new RefusedException(403, "Forbidden", "only the platform writes the list of hosts");
    }
    ObjectNode body =
        verb == PlatformVerb.DELETE ? null : call.readMessage(ObjectNode.class, MAX_BODY_BYTES);
    if (PlatformFaults.decrementIfPositive(faults.writesToLose)) {
      call.closeConnection();
      return;
    }
    ObjectNode answer =
        switch (verb) {
          case CREATE -> store.create(target.collection, body);
          case UPDATE -> store.update(target.collection, target.name, body);
          default ->
              store.delete(
                  target.collection, target.name, call.query("resourceVersion").orElse(""));
        };
    if (PlatformFaults.decrementIfPositive(faults.answersToLose)) {
      call.closeConnection();
      return;
    }
    call.reply(verb == PlatformVerb.CREATE ? 201 : 200, answer);
  }

  private void watch(Call call, String collection) throws IOException, InterruptedException {
    long seconds = call.queryNumber("timeoutSeconds", DEFAULT_WATCH_SECONDS);
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    long version = call.queryNumber("resourceVersion", 0);
    Changes changes = store.awaitChanges(collection, version, 0);
    try {
      streamChanges(call, collection, changes, deadline);
    } catch (RefusedException e) {
      call.closeConnection();
    }
  }

  private void streamChanges(Call call, String collection, Changes initialChanges, long deadline)
      throws IOException, InterruptedException {
    OutputStream out = call.startStream("application/json");
    out.flush();
    Changes changes = initialChanges;
    while (!faults.outage) {
      for (Event event : changes.events()) {
        writeEvent(call, out, event.type(), event.object());
      }
      long version = changes.version();
      long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
      if (leftMillis <= 0) {
        writeBookmark(call, out, version);
        out.close();
        return;
      }
      changes = store.awaitChanges(collection, version, Math.min(leftMillis + 1, MAX_WAIT_MILLIS));
    }
    call.closeConnection();
  }

  private static void writeBookmark(Call call, OutputStream out, long version) throws IOException {
    ObjectNode object = MAPPER.createObjectNode();
    object.putObject("metadata").put("resourceVersion", Long.toString(version));
    writeEvent(call, out, EventType.BOOKMARK, object);
  }

  private static void writeEvent(Call call, OutputStream out, EventType type, ObjectNode object)
      throws IOException {
    ObjectNode event = MAPPER.createObjectNode();
    event.put("type", type.name());
    event.set("object", object);
    out.write(call.toJson(event));
    out.write('\n');
    out.flush();
  }

  private void weights(Call call) throws IOException {
    String[] parts = call.pathAfter(WEIGHTS_PREFIX).split("/", -1);
    if (parts.length == 2 && call.method().equals("GET")) {
      call.reply(200, weights.weights(parts[0], parts[1]));
    } else if (parts.length == 3 && parts[2].equals("pulls") && call.method().equals("POST")) {
      call.reply(
          202, weights.pull(call.readMessage(WeightStore.PullRequest.class, MAX_BODY_BYTES)));
    } else {
      throw new RefusedException(404, "NotFound", "no such method and path");
    }
  }

  private static Target target(Call call) {
    String rest = call.pathAfter(OBJECTS_PREFIX);
    int slash = rest.indexOf('/');
    return slash < 0
        ? new Target(rest, "")
        : new Target(rest.substring(0, slash), rest.substring(slash + 1));
  }

  private static PlatformVerb verb(Call call, Target target) {
    boolean isCollection = target.name.isEmpty();
    boolean isWatch = call.query("watch").filter("true"::equals).isPresent();
    return switch (call.method()) {
      case "GET" ->
          isCollection ? (isWatch ? PlatformVerb.WATCH : PlatformVerb.LIST) : PlatformVerb.GET;
      case "POST" -> PlatformVerb.CREATE;
      case "PUT" -> PlatformVerb.UPDATE;
      case "DELETE" -> PlatformVerb.DELETE;
      default ->
          throw new RefusedException(405, "MethodNotAllowed", "use GET, POST, PUT or DELETE");
    };
  }
}
