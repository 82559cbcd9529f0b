/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.larkkeel.http.Json;

/**
 * A minimal stand-in for the platform's store: objects by kind and name, one revision counter for
 * all, lists in pages, and watches by long polling.
 *
 * <p>Safe for use by several threads.
 */
final class StoreStandin implements AutoCloseable {
  /** A placeholder for bytes that are not UTF-8, since a text can not contain them. */
  static final char NO_UTF8 = (char) 0xE000;

  private static final String NO_UTF8_ENCODED =
      new String(
          String.valueOf(NO_UTF8).getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
  private static final String NO_UTF8_BYTES = String.valueOf((char) 0xFF).repeat(3);

  private static final Pattern WATCH = Pattern.compile("watch=(\\d+)&wait_ms=(\\d+)");
  private static final Pattern AFTER = Pattern.compile("after=([^&]+)");
  private static final int PAGE_SIZE = 2;
  private static final long MAX_WAIT_MILLIS = 200;
  private static final int HISTORY_GONE = 410;

  private final RawServer server =
      new RawServer((r, out, socket) -> answer(r, out, socket, UnaryOperator.identity()));

  private final List<RawServer> views = new CopyOnWriteArrayList<>();
  private final Map<String, Map<String, ObjectNode>> kinds = new TreeMap<>();
  private final Map<String, TreeMap<Long, ObjectNode>> events = new TreeMap<>();
  private long revision = 100;
  private long era = 1;
  private int calls;
  private int refusalStatus;
  private boolean losesWriteAnswers;

  String address() {
    return server.address();
  }

  /**
   * Serves the content at a further address, with the text of each answer changed.
   *
   * @param change changes the text, which is JSON
   * @return the address
   */
  String addView(UnaryOperator<String> change) {
    RawServer view = new RawServer((r, out, socket) -> answer(r, out, socket, change));
    views.add(view);
    return view.address();
  }

  /** Answers every call with the given status until it is reset to 0. */
  synchronized void refuseWith(int status) {
    refusalStatus = status;
    notifyAll();
  }

  /** Sets whether writes are executed and their connections closed without an answer. */
  synchronized void loseWriteAnswers(boolean lost) {
    losesWriteAnswers = lost;
  }

  /** The content of the store at a point in time. */
  record Snapshot(Map<String, Map<String, ObjectNode>> kinds, long revision) {}

  /** Returns a copy of the content. */
  synchronized Snapshot snapshot() {
    Map<String, Map<String, ObjectNode>> copied = new TreeMap<>();
    kinds.forEach((kind, objects) -> copied.put(kind, new TreeMap<>(objects)));
    return new Snapshot(copied, revision);
  }

  /**
   * Restores the store from a copy in a new era: later writes are lost, their revisions are
   * assigned again, and the connections of waiting watches are closed.
   */
  synchronized void restore(Snapshot snapshot) {
    kinds.clear();
    snapshot.kinds().forEach((kind, objects) -> kinds.put(kind, new TreeMap<>(objects)));
    events.values().forEach(e -> e.tailMap(snapshot.revision(), false).clear());
    revision = snapshot.revision();
    era++;
    notifyAll();
  }

  /** Returns the number of calls received. */
  synchronized int calls() {
    return calls;
  }

  /** Writes an object with any content. */
  synchronized void put(String kind, String name, JsonNode spec) {
    revision++;
    ObjectNode o = Json.object();
    o.putObject("metadata").put("name", name).put("revision", revision);
    o.set("spec", spec);
    kinds.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, o);
    event(kind, o, false);
  }

  synchronized void delete(String kind, String name) {
    revision++;
    ObjectNode o = kinds.get(kind).remove(name).deepCopy();
    ((ObjectNode) o.path("metadata")).put("revision", revision);
    event(kind, o, true);
  }

  synchronized boolean has(String kind, String name) {
    return kinds.getOrDefault(kind, Map.of()).containsKey(name);
  }

  private void event(String kind, ObjectNode o, boolean deleted) {
    ObjectNode e = Json.object();
    e.put("tombstone", deleted);
    e.set("object", o);
    events.computeIfAbsent(kind, k -> new TreeMap<>()).put(revision, e);
    notifyAll();
  }

  private void answer(
      RawServer.Request r, OutputStream out, Socket socket, UnaryOperator<String> change)
      throws Exception {
    int status;
    ObjectNode body = Json.object();
    synchronized (this) {
      String path = r.target().substring("/larkkeel/objects/".length());
      String kind = path.split("[/?]", 2)[0];
      final long before = era;
      calls++;
      if (refusalStatus != 0) {
        status = refusalStatus;
      } else if (r.method().equals("POST")) {
        status = create(kind, r.body(), body);
      } else if (path.startsWith(kind + "/")) {
        String name = path.substring(kind.length() + 1).split("\\?", 2)[0];
        status =
            r.method().equals("PUT") ? update(kind, name, r.body(), body) : get(kind, name, body);
      } else {
        Matcher watch = WATCH.matcher(path);
        Matcher after = AFTER.matcher(path);
        if (watch.find()) {
          status =
              watch(kind, Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2)), body);
        } else {
          list(kind, after.find() ? after.group(1) : "", body);
          status = 200;
        }
        status = refusalStatus == 0 ? status : refusalStatus;
      }
      if (era != before || (losesWriteAnswers && !r.method().equals("GET"))) {
        socket.close();
        return;
      }
    }
    byte[] bytes =
        change
            .apply(new String(Json.bytes(body), StandardCharsets.UTF_8))
            .getBytes(StandardCharsets.UTF_8);
    RawServer.write(
        out,
        "HTTP/1.1 "
            + status
            + " X\r\nStore-Era: "
            + era
            + "\r\nContent-Type: application/json\r\nContent-Length: "
            + bytes.length
            + "\r\n\r\n"
            + new String(bytes, StandardCharsets.ISO_8859_1)
                .replace(NO_UTF8_ENCODED, NO_UTF8_BYTES));
  }

  /** Returns the content of an object. */
  synchronized JsonNode content(String kind, String name) {
    return kinds.get(kind).get(name).path("spec");
  }

  private int get(String kind, String name, ObjectNode body) {
    ObjectNode found = kinds.getOrDefault(kind, Map.of()).get(name);
    if (found == null) {
      return 404;
    }
    body.setAll(found);
    return 200;
  }

  private int update(String kind, String name, String text, ObjectNode body) throws IOException {
    ObjectNode sent = (ObjectNode) Json.parse(text.getBytes(StandardCharsets.UTF_8));
    int status = get(kind, name, body);
    if (status != 200) {
      return status;
    }
    if (sent.path("metadata").path("revision").asLong()
        != body.path("metadata").path("revision").asLong()) {
      return 409;
    }
    put(kind, name, sent.path("spec"));
    return get(kind, name, body);
  }

  private int create(String kind, String text, ObjectNode body) throws IOException {
    ObjectNode sent = (ObjectNode) Json.parse(text.getBytes(StandardCharsets.UTF_8));
    String name = sent.path("metadata").path("name").asText();
    if (has(kind, name)) {
      return 409;
    }
    put(kind, name, sent.path("spec"));
    body.setAll(kinds.get(kind).get(name));
    return 200;
  }

  private void list(String kind, String after, ObjectNode body) {
    ArrayNode items = body.putArray("items");
    boolean more = false;
    for (var e : kinds.getOrDefault(kind, Map.of()).entrySet()) {
      if (e.getKey().compareTo(after) > 0) {
        more = items.size() == PAGE_SIZE;
        if (more) {
          break;
        }
        items.add(e.getValue());
      }
    }
    body.put("more_pages", more);
    body.put("as_of", revision);
  }

  private int watch(String kind, long from, long waitMillis, ObjectNode body)
      throws InterruptedException {
    if (from > revision) {
      return HISTORY_GONE;
    }
    TreeMap<Long, ObjectNode> all = events.computeIfAbsent(kind, k -> new TreeMap<>());
    if (all.tailMap(from, false).isEmpty()) {
      wait(Math.min(MAX_WAIT_MILLIS, waitMillis));
    }
    ArrayNode list = body.putArray("events");
    all.tailMap(from, false).values().forEach(list::add);
    body.put("as_of", revision);
    return 200;
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (RawServer view : views) {
      view.close();
    }
  }
}
