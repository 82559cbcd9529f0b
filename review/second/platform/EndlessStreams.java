/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/**
 * The runners of one service are in trouble: after the first event of each stream they send bytes
 * without end until their caller closes. Callers of another service, whose runners are sound, send
 * small requests to the same node all the while, and after the trouble.
 *
 * <p>Usage: {@code java EndlessStreams RECORD}. With TROUBLE=0 all streams are sound.
 */
final class EndlessStreams {
  private static final int STREAMS = Integer.getInteger("streams", 400);
  private static final int GAP_MILLIS = Integer.getInteger("gap", 20);
  private static final int PART_BYTES = 16_384;
  private static final int PART_PAUSE_MILLIS = Integer.getInteger("pause", 57);
  private static final int DEADLINE_MILLIS = 14_000;

  /** Four times the objective: the gap after which a caller abandons its stream. */
  private static final int PATIENCE_MILLIS = 3_600;

  private static final int ROUTE_TIMEOUT_MILLIS = 1_500;
  private static final int SLACK_MILLIS = 500;
  private static final int SMALL_CALLERS = 6;

  private final Rig rig;
  private final AtomicInteger late = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger readDone = new AtomicInteger();
  private final AtomicInteger readOther = new AtomicInteger();
  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicBoolean over = new AtomicBoolean();

  private EndlessStreams(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) throws Exception {
    Rig rig = new Rig(Path.of(args[0]));
    try {
      rig.exit(new EndlessStreams(rig).run() ? Rig.HELD : Rig.BROKEN);
    } catch (Exception e) {
      rig.log("could not run: " + e);
      rig.exit(Rig.NOT_RUN);
    }
  }

  private boolean run() throws Exception {
    String routes =
        Rig.route("review", "streaming", "models", DEADLINE_MILLIS, 1)
            + ","
            + Rig.route("desk", "unsafe", "desk", ROUTE_TIMEOUT_MILLIS, 1);
    String services =
        "{\"name\":\"models\",\"max_connections\":360},{\"name\":\"desk\",\"max_connections\":100}";
    rig.store.put("config", "main", Rig.configuration(3, routes, services));
    for (int i = 0; i < 6; i++) {
      rig.store.put(
          "servers", "i-model-" + i, Rig.entry("models", rig.serve(this::model), "", "ready"));
    }
    for (int i = 0; i < 3; i++) {
      rig.store.put(
          "servers", "i-desk-" + i, Rig.entry("desk", rig.serve(this::desk), "", "ready"));
    }
    int peer = Rig.freePort();
    Rig.Node node = rig.start("front-1", "127.0.0.1", peer, "127.0.0.1:" + peer);
    rig.awaitReady(node);
    for (int i = 0; i < SMALL_CALLERS; i++) {
      Thread.ofVirtual().start(() -> callDesk(node.front));
    }
    Rig.pause(2_000);
    for (int i = 0; i < STREAMS; i++) {
      int index = i;
      Thread.ofVirtual().start(() -> readStream(node.front, index));
      Rig.pause(GAP_MILLIS);
    }
    rig.log("all streams asked for; " + state(node));
    Rig.pause(PATIENCE_MILLIS + 2_000);
    rig.log("all callers of streams have left; " + state(node));
    int before = answered.get();
    Rig.pause(15_000);
    over.set(true);
    Rig.pause(ROUTE_TIMEOUT_MILLIS + SLACK_MILLIS + 500);
    rig.log("15 s later; " + state(node) + " answered_in_them=" + (answered.get() - before));
    try (Stream<String> lines = Files.lines(node.log, StandardCharsets.ISO_8859_1)) {
      rig.log("OutOfMemoryError in the node's log: " + lines.filter(EndlessStreams::isFull).count());
    }
    // CONFIG: of the requests that are unanswered at the route's timeout, more than half have no
    // answer half a second later.
    boolean broken = unanswered.get() > 0 && 2 * unanswered.get() > late.get();
    rig.log(broken ? "BROKEN" : "held");
    return !broken;
  }

  private static boolean isFull(String line) {
    return line.contains("OutOfMemoryError");
  }

  private String state(Rig.Node node) {
    return "node alive="
        + node.process.isAlive()
        + " ready="
        + Rig.isReady(node)
        + " small: answered="
        + answered
        + " unanswered_at_timeout="
        + late
        + " of_these_none_half_a_second_later="
        + unanswered
        + " streams: complete="
        + readDone
        + " other="
        + readOther;
  }

  // The runners.

  private boolean model(Rig.Message m, OutputStream out, Socket socket) throws IOException {
    if (m.target().startsWith("/larkkeel/")) {
      Rig.reply(out, 200, "Content-Type: application/json\r\n", "{}");
      return true;
    }
    String id = m.header("X-Request-Id");
    Rig.pause(100);
    String head = "HTTP/1.1 200 OK\r\n" + Rig.stamp(m) + "Content-Type: text/event-stream\r\n";
    out.write((head + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.UTF_8));
    chunk(out, "id: 1\ndata: piece\n\n");
    if (Rig.trouble()) {
      endless(out, id);
    }
    for (int i = 2; i <= 70; i++) {
      chunk(out, "id: " + i + "\ndata: piece\n\n");
      Rig.pause(10);
    }
    out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
    out.flush();
    return true;
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    out.write(chunk.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  /** Sends bytes that are no event until the caller closes, which ends the connection here. */
  private void endless(OutputStream out, String id) throws IOException {
    String part = "x".repeat(PART_BYTES);
    long sent = 0;
    try {
      while (true) {
        chunk(out, part);
        sent += PART_BYTES;
        Rig.pause(PART_PAUSE_MILLIS);
      }
    } finally {
      rig.log("ran id=" + id + ", closed after " + sent + " bytes that are no event");
    }
  }

  private boolean desk(Rig.Message m, OutputStream out, Socket socket) throws IOException {
    if (!m.target().startsWith("/larkkeel/")) {
      Rig.pause(60);
    }
    Rig.reply(out, 200, Rig.stamp(m), "y".repeat(800));
    return true;
  }

  // The callers.

  private void readStream(int port, int index) {
    String outcome = "cut";
    String status = "";
    long got = 0;
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
      s.setSoTimeout(PATIENCE_MILLIS);
      String head =
          "POST /review/a HTTP/1.1\r\nHost: members.example\r\nX-Request-Id: s%d\r\nX-Model: m\r\n"
              + "X-Token-Usage: 5200,70\r\nX-Prefix-Hash: a%d:200,b%d:5000\r\n"
              + "X-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n";
      s.getOutputStream()
          .write(
              head.formatted(index, index % 7, index, DEADLINE_MILLIS)
                  .getBytes(StandardCharsets.UTF_8));
      InputStream in = s.getInputStream();
      byte[] part = new byte[4_096];
      for (int n = in.read(part); n >= 0; n = in.read(part)) {
        status = got == 0 ? new String(part, 9, 3, StandardCharsets.ISO_8859_1) : status;
        got += n;
        String end = new String(part, Math.max(0, n - 5), Math.min(n, 5), StandardCharsets.ISO_8859_1);
        if (end.equals("0\r\n\r\n") || !status.equals("200")) {
          outcome = "complete";
          break;
        }
      }
    } catch (SocketTimeoutException e) {
      outcome = "left";
    } catch (IOException e) {
      outcome = e.getClass().getSimpleName();
    }
    ("complete".equals(outcome) && status.equals("200") ? readDone : readOther).incrementAndGet();
    rig.log("stream id=s" + index + " status=" + status + " read_bytes=" + got + " " + outcome);
  }

  /** Sends small requests on kept connections, one after the other. */
  private void callDesk(int port) {
    while (!over.get()) {
      try (Socket s = new Socket()) {
        s.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        InputStream in = new BufferedInputStream(s.getInputStream());
        boolean kept = true;
        while (kept && !over.get()) {
          kept = callDesk(s, in);
          Rig.pause(250);
        }
      } catch (IOException e) {
        Rig.pause(250);
      }
    }
  }

  private boolean callDesk(Socket s, InputStream in) throws IOException {
    String id = "u" + ids.incrementAndGet();
    String head =
        "POST /desk/a HTTP/1.1\r\nHost: members.example\r\nX-Request-Id: %s\r\n"
            + "X-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\nhello";
    s.getOutputStream().write(head.formatted(id).getBytes(StandardCharsets.UTF_8));
    long sent = System.nanoTime();
    try {
      s.setSoTimeout(ROUTE_TIMEOUT_MILLIS + SLACK_MILLIS);
      Rig.Message answer = Rig.readHead(in);
      if (answer == null) {
        rig.log("small id=" + id + " closed without an answer");
        return false;
      }
      Rig.readBody(in, answer, true);
      answered.incrementAndGet();
      long millis = (System.nanoTime() - sent) / 1_000_000;
      if (millis > ROUTE_TIMEOUT_MILLIS) {
        late.incrementAndGet();
      }
      if (answer.status() != 200 || millis > 1_000) {
        rig.log("small id=" + id + " status=" + answer.status() + " ms=" + millis);
      }
      return !answer.header("Connection").equalsIgnoreCase("close");
    } catch (SocketTimeoutException e) {
      late.incrementAndGet();
      unanswered.incrementAndGet();
      rig.log("small id=" + id + " NO ANSWER after " + (ROUTE_TIMEOUT_MILLIS + SLACK_MILLIS) + " ms");
      return false;
    }
  }
}
