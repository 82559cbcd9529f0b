/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Sends requests of all kinds to the nodes over persistent connections, and checks every answer.
 *
 * <p>Used by one thread.
 */
final class SoakCaller implements Runnable {
  private static final int TIMEOUT_MILLIS = 8_000;
  private static final int MAX_LATE_MILLIS = 1_000;
  private static final String QUARANTINED = "problems/quarantined";
  private static final int MAX_RESUMES = 5;

  /** The waits for a ready node before an attempt to take a stream up fails. */
  private static final int MAX_READY_WAITS = 100;

  private static final int READY_WAIT_MILLIS = 50;

  private static final int MAX_LINES = 30;

  private static final int DEADLINE_MILLIS = 4_000;

  /** The deadline of streams that are open for seconds. */
  static final int LONG_DEADLINE_MILLIS = 8_000;

  /** The size from which a caller closes its connection; no sound answer is as large. */
  private static final int MAX_BODY_BYTES = 64 << 10;

  private static final String[] KINDS = {"safe", "once", "stream", "resume"};

  /** An answer; incomplete if the connection ended before the end of the answer. */
  private record Answer(int status, Map<String, String> headers, String body, boolean complete) {}

  /**
   * What became of a stream that was taken up: whether it came to its end, and whether all nodes
   * that were asked had the store, so that nothing excuses a refusal.
   */
  record TakeUp(boolean hasEnded, boolean isCertain) {}

  /** The chunks of a stream after which the caller closes its connection by itself. */
  private int chunksUntilClose = Integer.MAX_VALUE;

  private final Soak soak;
  private final SoakLedger ledger;
  private final SplittableRandom random;
  private final String name;
  private Socket socket = new Socket();
  private InputStream in;
  private int node;
  private int requests;

  SoakCaller(Soak soak, SoakLedger ledger, String name, long seed) {
    this.soak = soak;
    this.ledger = ledger;
    this.name = name;
    this.random = new SplittableRandom(seed);
  }

  static String body(String id) {
    String line = "answer to " + id + " " + id.hashCode() + "\n";
    return line.repeat(1 + Math.floorMod(id.hashCode(), MAX_LINES));
  }

  static int events(String id) {
    int draw = id.hashCode();
    return SoakHerdKills.isLong(id) ? 20 + Math.floorMod(draw, 20) : 3 + Math.floorMod(draw, 40);
  }

  private static int deadlineMillis(String id) {
    return SoakHerdKills.isLong(id) ? LONG_DEADLINE_MILLIS : DEADLINE_MILLIS;
  }

  @Override
  public void run() {
    while (soak.isLoaded()) {
      try {
        Thread.sleep(random.nextInt(10, 60));
        request(KINDS[random.nextInt(KINDS.length)]);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends one request to a node, and returns whether it got a complete answer with status 2xx. */
  boolean request(String kind) {
    String id = name + "-" + ++requests;
    String path = "/" + kind + "/" + id + "?q=" + requests;
    String text = kind.equals("safe") ? "" : "b".repeat(random.nextInt(1, 2_000));
    return request(kind, id, path, text);
  }

  private boolean request(String kind, String id, String path, String text) {
    String method = kind.equals("safe") ? "GET" : "POST";
    boolean runsOnce = kind.equals("once") || kind.equals("stream");
    final boolean isLong = SoakHerdKills.isLong(id);
    long startNanos = System.nanoTime();
    try {
      if (in == null || !isLong && random.nextInt(12) == 0) {
        connect(soak.pickNode(random));
      }
      ledger.sent(id, new SoakLedger.Sent(node, method, path, text, runsOnce));
      boolean closes =
          kind.equals("resume")
              && soak.mixesBuilds()
              && soak.isLoaded()
              && !isLong
              && random.nextInt(3) == 0;
      chunksUntilClose = closes ? random.nextInt(1, 10) : Integer.MAX_VALUE;
      Answer answer = exchange(id, method, path, text);
      boolean served = check(id, kind, answer, startNanos);
      soak.pathCuts().tried(node, startNanos, served);
      boolean hasBegun = answer.status() == 200 && SoakBuilds.completeEvents(answer.body()) > 0;
      soak.herdKills().answered(id, startNanos, hasBegun);
      if (kind.equals("resume") && hasBegun && !answer.complete() && soak.mixesBuilds()) {
        OptionalInt kill = soak.herdKills().killThatBroke(id, startNanos);
        TakeUp outcome = takeUp(id, path, text, answer.body());
        kill.ifPresent(
            k -> soak.herdKills().takenUp(k, SoakBuilds.buildOf(answer.body()), outcome));
      }
      return served;
    } catch (IOException e) {
      disconnect();
      soak.connectionLost(name, node, id, startNanos, e);
      ledger.outcome(kind + "-cut");
      soak.herdKills().answered(id, startNanos, false);
      soak.pathCuts().tried(node, startNanos, false);
      return false;
    }
  }

  /**
   * Takes up a stream that broke off, at ready nodes, where the engines are of several builds: only
   * the build that began it may go on with it.
   *
   * <p>Stops when the load ends.
   */
  private TakeUp takeUp(String stream, String path, String text, String received) {
    chunksUntilClose = Integer.MAX_VALUE;
    String build = SoakBuilds.buildOf(received);
    int last = SoakBuilds.completeEvents(received);
    long pauseMillis = 0;
    boolean isCertain = true;
    for (int i = 1; i <= MAX_RESUMES && soak.isLoaded(); i++) {
      String id = stream + "-r" + i;
      final long startNanos = System.nanoTime();
      try {
        Thread.sleep(pauseMillis);
        connect(awaitReadyNode());
        isCertain &= !soak.wasStoreDisturbed(node, startNanos);
        ledger.sent(id, new SoakLedger.Sent(node, "POST", path, text, false));
        Answer a =
            exchange(id, "POST", path, text, "Last-Event-Id: " + last + "\r\nResumes: " + stream);
        ledger.outcome("taken-up-" + a.status());
        if (a.status() == 200) {
          checkBuild(stream, last, build, a);
          if (a.complete()) {
            return new TakeUp(true, isCertain);
          }
          last += SoakBuilds.completeEvents(a.body());
        } else if (a.status() == 503) {
          ledger.refused(id, a.status());
        }
        double retryAfter = Double.parseDouble(a.headers().getOrDefault("retry-after", "0"));
        pauseMillis = Math.max(random.nextInt(200, 500), Math.round(retryAfter * 1_000));
      } catch (IOException e) {
        disconnect();
        ledger.outcome("taken-up-cut");
        soak.connectionLost(name, node, id, startNanos, e);
      } catch (InterruptedException e) {
        break;
      }
    }
    return new TakeUp(false, isCertain);
  }

  private int awaitReadyNode() throws IOException, InterruptedException {
    for (int i = 0; i < MAX_READY_WAITS; i++) {
      OptionalInt ready = soak.findReadyNode(random);
      if (ready.isPresent()) {
        return ready.getAsInt();
      }
      Thread.sleep(READY_WAIT_MILLIS);
    }
    throw new IOException("no node is ready");
  }

  /** Checks that the events of a stream after one are of the build that began it. */
  private void checkBuild(String stream, int last, String build, Answer a) {
    if (SoakBuilds.isOfBuild(stream, last, a.body(), a.complete(), build)) {
      return;
    }
    String got = a.body().replace('\n', ' ');
    String detail =
        "%s of build %s got after event %d at node %d: %s"
            .formatted(stream, build, last, node, got);
    if (!SoakHerdKills.isLong(stream)) {
      ledger.violation("builds", detail);
    } else if (SoakBuilds.isOfOneBuild(stream, last, a.body(), a.complete())) {
      soak.herdKills().mixed(stream, detail);
    } else {
      ledger.violation("mixed", detail);
    }
  }

  /** Sends a streaming request of a kind with the given body to the current node. */
  void requestWithBody(String kind, String body) {
    request(kind, name, "/" + kind + "/" + body, body);
  }

  /** Closes the connection to the current node. */
  void disconnect() {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
    in = null;
  }

  /** Connects to a node for the next request. */
  void connect(int next) throws IOException {
    disconnect();
    node = next;
    socket = new Socket();
    socket.connect(new InetSocketAddress(soak.host(node), Soak.CALLER_PORT), 1_000);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  private Answer exchange(String id, String method, String path, String text) throws IOException {
    return exchange(id, method, path, text, "");
  }

  private Answer exchange(
      String id, String method, String path, String text, String additionalHeaders)
      throws IOException {
    RawServer.write(
        socket.getOutputStream(),
        method
            + " "
            + path
            + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: "
            + id
            + "\r\nX-Deadline-Ms: "
            + deadlineMillis(id)
            + "\r\nX-Model: m\r\n"
            + (path.startsWith("/s") && !path.startsWith("/safe") || path.startsWith("/r")
                ? "X-Token-Usage: 1000,2000\r\n" + SoakCrashes.promptOf(id) + "\r\n"
                : "")
            + (additionalHeaders.isEmpty() ? "" : additionalHeaders + "\r\n")
            + (text.isEmpty() ? "" : "Content-Length: " + text.length() + "\r\n")
            + "\r\n"
            + text);
    String first = readLine();
    final int status = Integer.parseInt(first.split(" ")[1]);
    Map<String, String> headers = new TreeMap<>();
    for (String l = readLine(); !l.isEmpty(); l = readLine()) {
      int colon = l.indexOf(':');
      headers.put(l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).strip());
    }
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    boolean complete = true;
    try {
      if ("chunked".equals(headers.get("transfer-encoding"))) {
        for (int n = Integer.parseInt(readLine().strip(), 16);
            n > 0;
            n = Integer.parseInt(readLine(), 16)) {
          all.write(readExactly(n));
          if (--chunksUntilClose == 0 || all.size() > MAX_BODY_BYTES) {
            throw new EOFException();
          }
          readLine();
        }
        readLine();
      } else if (headers.containsKey("content-length")) {
        all.write(readExactly(Integer.parseInt(headers.get("content-length"))));
      } else {
        ledger.violation("unmarked", id + " got an answer without length and chunks " + headers);
      }
    } catch (EOFException | java.net.SocketException e) {
      complete = false;
    }
    if (!complete || "close".equalsIgnoreCase(headers.get("connection"))) {
      disconnect();
    }
    return new Answer(status, headers, all.toString(StandardCharsets.ISO_8859_1), complete);
  }

  private byte[] readExactly(int n) throws IOException {
    byte[] bytes = in.readNBytes(n);
    if (bytes.length < n) {
      throw new EOFException();
    }
    return bytes;
  }

  private String readLine() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException();
      }
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  private boolean check(String id, String kind, Answer a, long startNanos) {
    final boolean stream = kind.equals("stream") || kind.equals("resume");
    final boolean stamped = a.headers().containsKey("x-server-stamp");
    ledger.outcome(kind + "-" + a.status() + (a.complete() ? "" : "-incomplete"));
    long maxMillis = deadlineMillis(id) + MAX_LATE_MILLIS;
    if (System.nanoTime() - startNanos > TimeUnit.MILLISECONDS.toNanos(maxMillis)
        && !soak.wasRequestDisturbed(node, kind, startNanos)) {
      ledger.violation(
          "late", id + " took " + (System.nanoTime() - startNanos) / 1_000_000 + " ms");
    }
    if (a.status() / 100 == 2) {
      // What a flooding runner sends as its own answer may be passed on.
      boolean same = ledger.wasFlooded(id) || (stream ? isStream(id, a) : isBody(id, a));
      if (!("s-" + id).equals(a.headers().get("x-server-stamp")) || !same) {
        ledger.violation(isPart(id, stream, a) ? "cut" : "mixed", id + " got " + a);
      }
      if (!a.complete() && chunksUntilClose != 0) {
        soak.connectionLost(
            name, node, id, startNanos, new EOFException("the answer is truncated"));
      }
      return a.complete();
    }
    if (stamped) {
      if (a.complete() && !a.body().equals(SoakRunner.FAILURE) && !ledger.wasFlooded(id)) {
        ledger.violation("cut", id + " got " + a);
      }
      return false;
    }
    switch (a.status()) {
      case 408, 421, 429, 503 -> {
        ledger.refused(id, a.status());
        checkQuarantine(id, a);
      }
      case 500, 502, 504 -> {}
      default -> ledger.violation("denied", id + " got status " + a.status());
    }
    return false;
  }

  /** Checks that only requests that crash runners are answered as quarantined. */
  private void checkQuarantine(String id, Answer a) {
    if (a.body().contains(QUARANTINED)) {
      ledger.outcome("quarantined");
      if (!name.startsWith("crash-")) {
        ledger.violation("quarantined", id + " got " + a);
      }
    }
  }

  private boolean isStream(String id, Answer a) {
    return soak.mixesBuilds()
        ? SoakBuilds.isOfOneBuild(id, 0, a.body(), a.complete())
        : SoakBuilds.isOfBuild(id, 0, a.body(), a.complete(), SoakBuilds.NONE);
  }

  /** Returns whether an answer looks complete and is the beginning of the whole one. */
  private static boolean isPart(String id, boolean stream, Answer a) {
    String whole =
        stream && SoakBuilds.completeEvents(a.body()) > 0
            ? SoakBuilds.eventsAfter(id, 0, SoakBuilds.buildOf(a.body()))
            : body(id);
    return a.complete() && a.body().length() < whole.length() && whole.startsWith(a.body());
  }

  private static boolean isBody(String id, Answer a) {
    String expected = body(id);
    return a.complete() ? a.body().equals(expected) : expected.startsWith(a.body());
  }
}
