/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in for a model runner of one stage, which registers itself in the store. */
final class ModelRunner {
  /** Observes what reaches the runners. */
  interface Observer {
    /** A request reached a runner to be run. */
    void reached(ModelRunner runner, Kit.Message request);

    /** A runner crashed by a request. */
    void crashed(ModelRunner runner, Kit.Message request);

    /** A runner answered with a failure of its own. */
    void failed(ModelRunner runner, Kit.Message request);

    /** A runner accepted an order. */
    void ordered(ModelRunner runner, String body);
  }

  static final int HEARTBEAT_MILLIS = 1_200;
  private static final int SWITCH_MILLIS = 6_000;
  private static final int READ_MILLIS = 90;
  private static final AtomicLong STARTS = new AtomicLong();
  private static final Map<String, String> HANDLES = new ConcurrentHashMap<>();

  final String service;
  final String zone;
  private final Kit.Store store;
  private final InetSocketAddress address;
  private final Observer observer;
  private final SplittableRandom random;
  private final Kit.Server server;
  private volatile String id;
  private volatile String stage;
  private volatile boolean alive;
  private volatile boolean busy;

  /** Grows with each start; work of an earlier start is not continued. */
  private volatile int incarnation;
  private volatile Set<String> deadlyParts = Set.of();
  private volatile double failureShare;
  private volatile String version;
  private final AtomicInteger sequence = new AtomicInteger();
  volatile int firstMillis = 100;
  volatile int events = 70;
  volatile int eventMillis = 20;
  volatile int backMillis = 4_000;

  ModelRunner(
      Kit.Store store,
      InetSocketAddress address,
      String service,
      String zone,
      String stage,
      Observer observer,
      long seed)
      throws IOException {
    this(store, address, service, zone, stage, "v1", observer, seed);
  }

  ModelRunner(
      Kit.Store store,
      InetSocketAddress address,
      String service,
      String zone,
      String stage,
      String version,
      Observer observer,
      long seed)
      throws IOException {
    this.version = version;
    this.store = store;
    this.address = address;
    this.service = service;
    this.zone = zone;
    this.stage = stage;
    this.observer = observer;
    this.random = new SplittableRandom(seed);
    this.server = new Kit.Server(address, this::answer);
    begin();
  }

  String id() {
    return id;
  }

  String version() {
    return version;
  }

  String address() {
    return Kit.text(address);
  }

  boolean decodes() {
    return stage.equals("decode");
  }

  /** Sets the parts of prompts that crash the runner. */
  void setDeadlyParts(Set<String> parts) {
    deadlyParts = parts;
  }

  /** Sets the share of the requests that the runner answers with a failure of its own. */
  void setFailureShare(double share) {
    failureShare = share;
  }

  private void begin() {
    id = "i-%08x".formatted(STARTS.incrementAndGet() * 0x9e3779b1L & 0xffffffffL);
    sequence.set(0);
    alive = true;
    register();
  }

  private void register() {
    store.put(
        "servers",
        id,
        ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"%s\",\"slots\":64,"
                + "\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"%s\",\"born\":%d,"
                + "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":%d}")
            .formatted(
                service, address(), zone, version, stage, System.currentTimeMillis(), sequence.get()));
  }

  /**
   * Ends like a process that crashed: its connections are reset, it says nothing, its entry lapses
   * after three heartbeats, and it starts again under a new id after a while.
   */
  synchronized void crash() {
    if (!alive) {
      return;
    }
    alive = false;
    String ended = id;
    try {
      server.kill();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    Thread.startVirtualThread(
        () -> {
          sleep(3L * HEARTBEAT_MILLIS);
          store.remove("servers", ended);
        });
    Thread.startVirtualThread(
        () -> {
          sleep(backMillis);
          try {
            server.listen();
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
          begin();
        });
  }

  /**
   * Loses power: its connections go silent and its work is lost. It starts again under its id after
   * a while, with another version of its software.
   */
  synchronized void powerOff(int millis, String nextVersion) {
    incarnation++;
    alive = false;
    Thread.startVirtualThread(
        () -> {
          sleep(millis);
          version = nextVersion;
          sequence.set(0);
          alive = true;
          register();
        });
  }

  /** Waits for ever if the runner has no power, or has lost it since a request came. */
  private void awaitPower(int since) throws InterruptedException {
    while (since != incarnation || !alive) {
      Thread.sleep(60_000);
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void answer(Kit.Message r, Socket socket, OutputStream out) throws Exception {
    final int since = incarnation;
    awaitPower(since);
    if (r.method().equals("GET") && r.target().equals("/health")) {
      Kit.respond(out, 200, "X-Instance-Id: " + id + "\r\n", "");
      return;
    }
    if (r.method().equals("DELETE") && r.target().startsWith("/larkkeel/kv-handle/")) {
      HANDLES.remove(r.target().substring("/larkkeel/kv-handle/".length()));
      Kit.respond(out, 200, "", "");
      return;
    }
    String expected = r.header("X-Expect-Instance");
    String wire = r.header("X-Request-Id");
    String echo = wire == null ? "" : "X-Request-Id: " + wire + "\r\n";
    if (expected != null && !expected.equals(id)) {
      Kit.respond(out, 421, echo + "X-Not-Run: 1\r\nX-Instance-Id: " + id + "\r\n", "");
      return;
    }
    if (r.target().equals("/larkkeel/order")) {
      order(r, out);
      return;
    }
    if (r.target().equals("/larkkeel/kv-move")) {
      Kit.respond(out, 503, "", "{}");
      return;
    }
    if (r.target().startsWith("/larkkeel/")) {
      Kit.respond(out, 404, "", "");
      return;
    }
    if (busy) {
      Kit.respond(out, 503, echo + "X-Not-Run: 1\r\n", "");
      return;
    }
    if ("prefill".equals(r.header("X-Serving-Stage"))) {
      readPrompt(r, echo, since, out);
      return;
    }
    if (!decodes()) {
      Kit.respond(out, 421, echo + "X-Not-Run: 1\r\n", "");
      return;
    }
    String source = r.header("X-Kv-Source");
    if (source != null && !wire.equals(HANDLES.remove(source.substring(source.indexOf('/') + 1)))) {
      Kit.respond(out, 503, echo + "X-Not-Run: 1\r\n", "");
      return;
    }
    run(r, wire, echo, since, out);
  }

  private void readPrompt(Kit.Message r, String echo, int since, OutputStream out)
      throws Exception {
    if (decodes()) {
      Kit.respond(out, 421, echo + "X-Not-Run: 1\r\n", "");
      return;
    }
    Thread.sleep(READ_MILLIS);
    awaitPower(since);
    String handle = "%012x".formatted(random.nextLong() & 0xffffffffffffL);
    HANDLES.put(handle, r.header("X-Request-Id"));
    Kit.respond(
        out,
        200,
        echo + "Content-Type: application/json\r\n",
        "{\"prefill_handle\":\"%s\",\"tokens\":5200,\"version\":1}".formatted(handle));
  }

  private void run(Kit.Message r, String wire, String echo, int since, OutputStream out)
      throws Exception {
    final String writer = version;
    observer.reached(this, r);
    boolean fails;
    synchronized (random) {
      fails = random.nextDouble() < failureShare;
    }
    String head = echo + "X-Server-Stamp: " + id + "." + wire + "\r\n";
    if (fails) {
      observer.failed(this, r);
      Kit.respond(out, 500, head, "failed");
      return;
    }
    Thread.sleep(firstMillis);
    awaitPower(since);
    if (hasDeadlyPart(r)) {
      if (alive) {
        observer.crashed(this, r);
      }
      crash();
      throw new IOException("crashed");
    }
    Kit.write(
        out,
        "HTTP/1.1 200 OK\r\n"
            + head
            + "X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n");
    String last = r.header("Last-Event-Id");
    for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= events; i++) {
      String event = "id: %d\ndata: %s %s\n\n".formatted(i, writer, "x".repeat(260));
      Kit.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
      Thread.sleep(eventMillis);
      awaitPower(since);
    }
    Kit.write(out, "0\r\n\r\n");
  }

  private boolean hasDeadlyPart(Kit.Message r) {
    String parts = r.header("X-Prefix-Hash");
    if (parts == null) {
      return false;
    }
    for (String p : parts.split(",")) {
      if (deadlyParts.contains(p.split(":")[0].strip())) {
        return true;
      }
    }
    return false;
  }

  private void order(Kit.Message r, OutputStream out) throws IOException {
    String wanted = r.text().contains("\"stage\":\"prefill\"") ? "prefill" : "decode";
    observer.ordered(this, r.text());
    if (busy) {
      Kit.respond(out, 409, "", "{}");
      return;
    }
    if (stage.equals(wanted)) {
      Kit.respond(out, 200, "", "{}");
      return;
    }
    busy = true;
    sequence.incrementAndGet();
    Kit.respond(out, 202, "", "{}");
    Thread.startVirtualThread(
        () -> {
          sleep(SWITCH_MILLIS);
          stage = wanted;
          busy = false;
          register();
        });
  }
}
