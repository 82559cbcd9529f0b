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
 * The HTTP side of the platform.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
public final class PlatformRoutes implements CallHandler {
  /** The collection that only the platform writes. */
  public static final String HOSTS = "hosts";

  /** Reads and writes objects. */
  public static final ObjectMapper MAPPER = new ObjectMapper();

  private static final String OBJECTS = "/apis/larkkeel.org/v1/";
  private static final String WEIGHTS = "/weights/v1/";
  private static final int MAX_BODY = 1 << 20;
  private static final int DEFAULT_LIMIT = 500;
  private static final long DEFAULT_WATCH_SECONDS = 30;
  private static final long BOOKMARK_MILLIS = 5_000;

  private final ObjectStore store;
  private final WeightStore weights;
  private final PlatformFaults faults;
  private final Controls controls;

  private record Failure(String kind, String status, String reason, String message, int code) {}

  private record Target(String collection, String name) {}

  /**
   * Creates the routes.
   *
   * @param store the objects
   * @param weights the weights
   * @param faults faults and counts
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
        call.answerHeader("Retry-After", "1");
      }
      call.reply(
          e.status(), new Failure("Status", "Failure", e.code(), e.getMessage(), e.status()));
    }
  }

  private void route(Call call) throws IOException, InterruptedException {
    if (call.path().startsWith(WEIGHTS)) {
      faults.admit(PlatformVerb.WEIGHTS);
      weights(call);
    } else if (call.path().startsWith(OBJECTS)) {
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
    int limit = (int) call.queryNumber("limit", DEFAULT_LIMIT);
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
    ObjectNode body = verb == PlatformVerb.DELETE ? null : call.body(ObjectNode.class, MAX_BODY);
    if (PlatformFaults.take(faults.writesToLose)) {
      call.cut();
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
    if (PlatformFaults.take(faults.answersToLose)) {
      call.cut();
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
      follow(call, collection, changes, deadline);
    } catch (RefusedException e) {
      call.cut();
    }
  }

  private void follow(Call call, String collection, Changes first, long deadline)
      throws IOException, InterruptedException {
    OutputStream out = call.stream("application/json");
    out.flush();
    Changes changes = first;
    while (!faults.outage) {
      for (Event event : changes.events()) {
        line(call, out, event.type(), event.object());
      }
      long version = changes.version();
      long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
      if (left <= 0) {
        bookmark(call, out, version);
        out.close();
        return;
      }
      changes = store.awaitChanges(collection, version, Math.min(left + 1, BOOKMARK_MILLIS));
    }
    call.cut();
  }

  private static void bookmark(Call call, OutputStream out, long version) throws IOException {
    ObjectNode object = MAPPER.createObjectNode();
    object.putObject("metadata").put("resourceVersion", Long.toString(version));
    line(call, out, EventType.BOOKMARK, object);
  }

  private static void line(Call call, OutputStream out, EventType type, ObjectNode object)
      throws IOException {
    ObjectNode event = MAPPER.createObjectNode();
    event.put("type", type.name());
    event.set("object", object);
    out.write(call.json(event));
    out.write('\n');
    out.flush();
  }

  private void weights(Call call) throws IOException {
    String[] parts = call.pathAfter(WEIGHTS).split("/", -1);
    if (parts.length == 2 && call.method().equals("GET")) {
      call.reply(200, weights.weights(parts[0], parts[1]));
    } else if (parts.length == 3 && parts[2].equals("pulls") && call.method().equals("POST")) {
      call.reply(202, weights.pull(call.body(WeightStore.PullRequest.class, MAX_BODY)));
    } else {
      throw new RefusedException(404, "NotFound", "no such method and path");
    }
  }

  private static Target target(Call call) {
    String rest = call.pathAfter(OBJECTS);
    int slash = rest.indexOf('/');
    return slash < 0
        ? new Target(rest, "")
        : new Target(rest.substring(0, slash), rest.substring(slash + 1));
  }

  private static PlatformVerb verb(Call call, Target target) {
    boolean whole = target.name.isEmpty();
    boolean watch = call.query("watch").filter("true"::equals).isPresent();
    return switch (call.method()) {
      case "GET" -> whole ? (watch ? PlatformVerb.WATCH : PlatformVerb.LIST) : PlatformVerb.GET;
      case "POST" -> PlatformVerb.CREATE;
      case "PUT" -> PlatformVerb.UPDATE;
      case "DELETE" -> PlatformVerb.DELETE;
      default ->
          throw new RefusedException(405, "MethodNotAllowed", "use GET, POST, PUT or DELETE");
    };
  }
}
