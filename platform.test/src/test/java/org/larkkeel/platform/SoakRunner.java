/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.larkkeel.http.Json;

/**
 * A stand-in for a runner behind proxies: a plain service, or an engine of one stage. It is down
 * until its first start, and restarts under a new name or under its current one, always at the same
 * address.
 *
 * <p>Invariant: it holds no prefilled prompt from before its latest start. Safe for use by several
 * threads.
 */
final class SoakRunner implements AutoCloseable {
  /** A fault that the runner shows in its answers. */
  enum Fault {
    NONE,
    DECLINES,
    FAILS,
    MUTE,
    GARBLES,
    BREAKS,
    LATE_SECOND_ANSWER,
    WANTS_REST
  }

  private static final Set<Fault> REJECTS_PREFILLS =
      EnumSet.of(Fault.DECLINES, Fault.WANTS_REST, Fault.MUTE);
  private static final String ENDED = "gone";

  /** The body of its failures. */
  static final String FAILURE = "failed";

  /** The node whose request the current thread answers. */
  private final ThreadLocal<OptionalInt> answeredNode = ThreadLocal.withInitial(OptionalInt::empty);

  private static final AtomicLong STARTS = new AtomicLong();
  private static final Map<String, Prompt> HANDLES = new ConcurrentHashMap<>();
  private static final int EVENT_MILLIS = 20;
  private static final int PIECE_MILLIS = 10;
  private static final int LONG_EVENT_MILLIS = 100;
  private static final int MAX_REPEAT_MILLIS = 40;
  private static final long BACKOFF_MILLIS = 3_000;

  /** The time after which nodes that know of an invalid entry send its runner no new work. */
  private static final long INVALID_KNOWN_MILLIS = 1_500;

  /** A prefilled prompt, and the runner that holds it. */
  private record Prompt(String request, SoakRunner holder) {}

  private final SoakLedger ledger;
  private final StoreStandin store;
  private final String service;
  private final String stage;
  private final RawServer server;
  private final SplittableRandom random;
  private final SoakUnmarkedEnds unmarkedEnds;
  final SoakPaths paths;
  private volatile Fault fault = Fault.NONE;
  private volatile double failingShare;
  private volatile int failingMillis;
  private volatile boolean repeatsAnswers;
  private volatile Optional<EndlessAnswer> endlessAnswer = Optional.empty();
  private volatile String id = ENDED;
  private volatile String build = SoakBuilds.NONE;
  private volatile String fixedBuild = SoakBuilds.NONE;
  private volatile SoakNotices notices;
  private volatile SoakRateLimit limit;
  private volatile long startMillis;
  private volatile long drainingSince = Long.MAX_VALUE;
  private volatile long invalidSince = Long.MAX_VALUE;
  private volatile long changedNanos = System.nanoTime();
  private volatile boolean unlisted;
  private Optional<InvalidEntry> invalidShape = Optional.empty();

  SoakRunner(
      SoakLedger ledger, StoreStandin store, String service, String stage, int nodes, long seed) {
    this.ledger = ledger;
    this.store = store;
    this.service = service;
    this.stage = stage;
    this.random = new SplittableRandom(seed);
    this.unmarkedEnds = new SoakUnmarkedEnds(ledger);
    this.server = new RawServer(this::answer);
    String[] address = server.address().split(":");
    this.paths =
        new SoakPaths(
            Soak.proxyHost(),
            new InetSocketAddress(address[0], Integer.parseInt(address[1])),
            nodes);
  }

  /** Starts under a new name, and registers it. */
  synchronized void start() {
    id = "i-" + STARTS.incrementAndGet();
    build = drawBuild();
    startMillis = System.currentTimeMillis();
    drainingSince = Long.MAX_VALUE;
    unlisted = false;
    resetState();
    register();
  }

  private String drawBuild() {
    if (!Soak.mixesEngineBuilds() || !isEngine()) {
      return SoakBuilds.NONE;
    }
    return fixedBuild.isEmpty() ? SoakBuilds.draw(random) : fixedBuild;
  }

  /** Sets the build of all starts from now on. */
  void setBuild(String next) {
    fixedBuild = next;
  }

  /** Returns whether it always starts as a build. */
  boolean isOf(String name) {
    return fixedBuild.equals(name);
  }

  boolean isDecode() {
    return stage.equals("decode");
  }

  /** Returns whether it has been in the list and served without a fault since a time. */
  synchronized boolean hasServedSince(long nanos) {
    return isServing()
        && changedNanos < nanos
        && fault == Fault.NONE
        && invalidShape.isEmpty()
        && endlessAnswer.isEmpty()
        && failingShare == 0
        && paths.havePassedSince(nanos);
  }

  /**
   * Restarts under the same name, maybe as another build: its work is lost, and its connections are
   * closed. Its entry is not changed.
   *
   * @param backMillis the milliseconds by which the new start time is before the previous one,
   *     after the clock was set back; 0 if the clock is right
   */
  synchronized void restart(long backMillis) {
    startMillis =
        backMillis > 0
            ? startMillis - backMillis
            : Math.max(startMillis + 1, System.currentTimeMillis());
    build = drawBuild();
    resetState();
    unmarkedEnds.resetAll();
    server.closeConnections();
  }

  private void resetState() {
    changedNanos = System.nanoTime();
    notices = new SoakNotices(ledger);
    limit = new SoakRateLimit(ledger);
    HANDLES.values().removeIf(p -> p.holder() == this);
  }

  /** Announces in its entry and its answers that it will leave. */
  synchronized void announceLeaving() {
    drainingSince = System.nanoTime();
    register();
  }

  /** Leaves the list without an announcement, and serves on. */
  synchronized void leaveList() {
    unlisted = true;
    expire(id);
  }

  /** Ends without notice; its entry stays until it expires. */
  synchronized void crash() {
    resetState();
    server.closeConnections();
    id = ENDED;
  }

  /** Removes the entry of an incarnation that has ended without notice. */
  synchronized void expire(String name) {
    if (store.has("servers", name)) {
      store.delete("servers", name);
    }
  }

  /** Removes its entry; its address later answers as the next incarnation. */
  synchronized void end() {
    expire(id);
    id = ENDED;
  }

  /** Ends if it is still the incarnation with a name. */
  synchronized void end(String name) {
    if (id.equals(name)) {
      end();
    }
  }

  /** Ends, and starts under a new name at once. */
  synchronized void replace() {
    end();
    start();
  }

  /** Returns whether it is an engine, which runs streams or prefills prompts. */
  boolean isEngine() {
    return !stage.isEmpty();
  }

  /** Returns whether it does the work of another runner. */
  boolean servesLike(SoakRunner other) {
    return service.equals(other.service) && stage.equals(other.stage);
  }

  String id() {
    return id;
  }

  /** Returns whether it is running, and has neither left the list nor announced that it will. */
  boolean isServing() {
    return !id.equals(ENDED) && !unlisted && leavingMillis() < 0;
  }

  /** Sets the invalid shape of its entry, or makes the entry valid if empty. */
  synchronized void setEntryShape(Optional<InvalidEntry> shape) {
    changedNanos = System.nanoTime();
    invalidShape = shape;
    invalidSince = shape.isEmpty() ? Long.MAX_VALUE : System.nanoTime();
    register();
  }

  /** Announces a rate limit in its answers. */
  void setLimit(double perSecond) {
    limit.set(perSecond);
  }

  /** Stops announcing a rate limit. */
  void removeLimit() {
    limit.remove();
  }

  /** Sets the share of the runs that fail, beside any other fault, and the time that these take. */
  void setFailing(double share, int millis) {
    failingShare = share;
    failingMillis = millis;
  }

  /** Ends the faults that last throughout a run. */
  void endLastingFaults() {
    failingShare = 0;
    repeatsAnswers = false;
    endlessAnswer = Optional.empty();
  }

  /** Sets the answer without end that it gives to all requests; empty for none. */
  void setEndlessAnswer(Optional<EndlessAnswer> answer) {
    endlessAnswer = answer;
  }

  /**
   * Sends half of all answers a second time from now on, up to 40 ms late, and declines half of the
   * prompts that were prefilled elsewhere.
   */
  void repeatAnswers() {
    repeatsAnswers = true;
  }

  void setFault(Fault next) {
    changedNanos = System.nanoTime();
    fault = next;
  }

  /** Returns the milliseconds since it announced that it will leave; negative if it has not. */
  long leavingMillis() {
    return millisSince(drainingSince);
  }

  private static long millisSince(long since) {
    return since == Long.MAX_VALUE ? -1 : (System.nanoTime() - since) / 1_000_000;
  }

  /** Writes its entry again, unless it has ended or left the list. */
  synchronized void register() {
    if (id.equals(ENDED) || unlisted) {
      return;
    }
    ObjectNode entry = Json.object();
    entry.put("service", service).put("address", paths.address()).put("zone", "dc-1");
    entry.put("slots", 8).put("state", leavingMillis() < 0 ? "ready" : "draining");
    entry.put("stage", stage).put("born", startMillis).put("sequence", 0);
    if (!build.isEmpty()) {
      entry.put("version", build);
    }
    store.put("servers", id, invalidShape.isEmpty() ? entry : invalidShape.get().applyTo(entry));
  }

  private void answer(RawServer.Request r, OutputStream out, Socket socket) throws Exception {
    if (r.method().equals("DELETE")) {
      HANDLES.remove(r.target().substring(r.target().lastIndexOf('/') + 1));
      respond(out, "200 OK", "", "");
      return;
    }
    String wire = r.header("X-Request-Id");
    String echo = wire == null ? "" : "X-Request-Id: " + wire + "\r\n";
    String notRun = echo + "X-Not-Run: 1\r\n";
    if (!id.equals(r.header("X-Expect-Instance"))) {
      if (wire != null) {
        ledger.retryBudget().arrived(service, wire);
      }
      respond(out, "421 X", notRun, "");
      return;
    }
    if (r.target().equals(PlatformNames.REPORT)) {
      respond(out, "200 OK", "", "{\"born\":" + startMillis + "}");
      return;
    }
    OptionalInt node = ledger.nodeOf(wire);
    boolean isPrefill = "prefill".equals(r.header("X-Serving-Stage"));
    if (!isPrefill || REJECTS_PREFILLS.contains(fault)) {
      ledger.retryBudget().arrived(service, wire);
    }
    node.ifPresent(n -> notices.reached(n, wire));
    node.ifPresent(n -> limit.reached(n, wire));
    answeredNode.set(node);
    if (leavingMillis() >= 0) {
      node.ifPresent(notices::sentLeaving);
    }
    if (SoakCrashes.isCrashing(r)) {
      Soak.crashes().reached(wire, r.body());
    }
    if (fault == Fault.WANTS_REST) {
      node.ifPresent(n -> notices.sentBackoff(n, BACKOFF_MILLIS));
      respond(out, "503 X", notRun + "Retry-After: " + BACKOFF_MILLIS / 1_000 + "\r\n", "");
      return;
    }
    if (fault == Fault.DECLINES) {
      respond(out, "503 X", notRun, "");
      return;
    }
    if (leavingMillis() > Soak.DRAIN_MILLIS && !Soak.isDisturbed()) {
      ledger.violation(
          "drain", wire + " came " + leavingMillis() + " ms after its runner announced leaving");
    }
    checkListed(wire);
    if (endlessAnswer.isPresent()) {
      if (!isPrefill) {
        ledger.runStarted(
            wire, r.method(), r.target(), r.body(), r.header("Last-Event-Id") != null);
      }
      ledger.flooded(wire);
      endlessAnswer.get().write(wire, out, new AtomicLong());
    }
    if (fault == Fault.MUTE) {
      if (!isPrefill) {
        ledger.runStarted(
            wire, r.method(), r.target(), r.body(), r.header("Last-Event-Id") != null);
      }
      socket.getInputStream().read();
      throw new IOException("the runner does not answer");
    }
    if (isPrefill) {
      String handle = "h" + STARTS.incrementAndGet();
      HANDLES.put(handle, new Prompt(wire, this));
      ledger.retryBudget().prefilled(service, wire);
      Thread.sleep(10);
      respond(out, "200 OK", echo, "{\"prefill_handle\":\"" + handle + "\"}");
      return;
    }
    String source = r.header("X-Kv-Source");
    if (source != null) {
      Prompt prompt = HANDLES.remove(source.substring(source.indexOf('/') + 1));
      if (prompt == null || (repeatsAnswers && random.nextBoolean())) {
        respond(out, "503 X", notRun, "");
        return;
      }
      if (!prompt.request().equals(wire)) {
        ledger.violation("mixed", wire + " continues from the memory of " + prompt.request());
      }
    }
    run(r, wire, out, socket);
  }

  private void checkListed(String wire) {
    long millis = millisSince(invalidSince);
    OptionalInt node = ledger.nodeOf(wire);
    if (millis > INVALID_KNOWN_MILLIS && node.isPresent() && Soak.knowsRunners(node.getAsInt())) {
      ledger.violation(
          "unlisted",
          wire + " came to " + id + " " + millis + " ms after its entry became invalid");
    }
  }

  private void run(RawServer.Request r, String wire, OutputStream out, Socket socket)
      throws Exception {
    String last = r.header("Last-Event-Id");
    ledger.runStarted(wire, r.method(), r.target(), r.body(), last != null);
    if (SoakCrashes.isCrashing(r)) {
      Thread.sleep(EVENT_MILLIS);
      if (SoakCrashes.crashesAfterFirstEvent(r) && r.header("Last-Event-Id") == null) {
        SoakAnswerBody body = new SoakAnswerBody.Chunked(out);
        begin(wire, "Content-Type: text/event-stream\r\n", body, out);
        body.write(SoakBuilds.event(wire, 1, build));
        Thread.sleep(EVENT_MILLIS / 2);
      }
      Soak.crash(this, r.body());
      throw new IOException("the runner has crashed");
    }
    ledger.running().incrementAndGet();
    try {
      if (random.nextDouble() < failingShare) {
        Thread.sleep(failingMillis);
        respond(out, "500 X", stamp(wire), FAILURE);
      } else if (stage.isEmpty()) {
        plain(wire, out, socket);
      } else {
        String resumed = r.header("Resumes");
        String stream = resumed == null ? wire : resumed;
        int from = last == null ? 0 : Integer.parseInt(last);
        if (SoakUnmarkedEnds.covers(wire)) {
          unmarkedEnds.write(socket, body -> stream(wire, stream, from, body, out));
        } else {
          stream(wire, stream, from, new SoakAnswerBody.Chunked(out), out);
        }
      }
    } finally {
      ledger.running().decrementAndGet();
    }
  }

  private static String stamp(String wire) {
    return "X-Request-Id: " + wire + "\r\nX-Server-Stamp: s-" + wire + "\r\n";
  }

  private void plain(String wire, OutputStream out, Socket socket) throws Exception {
    Thread.sleep(random.nextInt(5, 60));
    String head = stamp(wire);
    switch (fault) {
      case FAILS -> respond(out, "500 X", head, FAILURE);
      case GARBLES -> RawServer.write(out, "\u0001\u0002 no answer\r\n\r\n");
      case BREAKS -> {
        RawServer.write(out, "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 100\r\n\r\nhalf");
        throw new IOException("the runner ends the answer early");
      }
      case LATE_SECOND_ANSWER -> {
        respond(out, "200 OK", head, SoakCaller.body(wire));
        Thread.sleep(15);
        respond(out, "200 OK", head, SoakCaller.body(wire));
      }
      default -> {
        if (SoakUnmarkedEnds.covers(wire) && !repeatsAnswers) {
          unmarkedEnds.write(socket, body -> plainInPieces(wire, body, out));
        } else {
          respond(out, "200 OK", head, SoakCaller.body(wire));
        }
      }
    }
  }

  private void plainInPieces(String wire, SoakAnswerBody body, OutputStream out) throws Exception {
    begin(wire, "", body, out);
    for (String line : SoakCaller.body(wire).split("(?<=\n)")) {
      body.write(line);
      Thread.sleep(PIECE_MILLIS);
    }
    body.end();
  }

  private void stream(String wire, String stream, int from, SoakAnswerBody body, OutputStream out)
      throws Exception {
    final String writer = build;
    begin(wire, "Content-Type: text/event-stream\r\n", body, out);
    int events = SoakCaller.events(stream);
    for (int i = from + 1; i <= events; i++) {
      Thread.sleep(SoakHerdKills.isLong(stream) ? LONG_EVENT_MILLIS : EVENT_MILLIS);
      String event = SoakBuilds.event(stream, i, writer);
      if (fault == Fault.BREAKS && i > events / 2) {
        body.breakOff(event);
        throw new IOException("the runner ends the answer early");
      }
      body.write(event);
    }
    body.end();
  }

  private void begin(String wire, String headers, SoakAnswerBody body, OutputStream out)
      throws IOException {
    RawServer.write(
        out,
        "HTTP/1.1 200 OK\r\n" + stamp(wire) + noticeHeaders() + headers + body.headers() + "\r\n");
  }

  /** Returns the headers by which each answer announces leaving and the rate limit. */
  private String noticeHeaders() {
    String leavingHeader = leavingMillis() < 0 ? "" : "Server-Leaving: 1\r\n";
    OptionalInt node = answeredNode.get();
    return node.isPresent() ? leavingHeader + limit.header(node.getAsInt()) : leavingHeader;
  }

  private void respond(OutputStream out, String status, String headers, String body)
      throws Exception {
    String answer =
        "HTTP/1.1 "
            + status
            + "\r\n"
            + noticeHeaders()
            + headers
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    RawServer.write(out, answer);
    if (repeatsAnswers && random.nextBoolean()) {
      Thread.sleep(random.nextInt(1, MAX_REPEAT_MILLIS));
      RawServer.write(out, answer);
    }
  }

  @Override
  public void close() throws IOException {
    paths.close();
    server.close();
  }
}
