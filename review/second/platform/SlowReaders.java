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
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/**
 * Callers read their answers slowly. Callers of another route send small requests to the same node
 * all the while, and after the slow ones have left.
 *
 * <p>Usage: {@code java SlowReaders RECORD}. With TROUBLE=0 all callers read at once.
 */
final class SlowReaders {
  private static final int ANSWER_BYTES = Integer.getInteger("bytes", 300_000);
  private static final int SLOW_CALLERS = Integer.getInteger("callers", 600);
  private static final int GAP_MILLIS = Integer.getInteger("gap", 15);
  private static final int RECEIVE_BYTES = 8_192;
  private static final int READ_MILLIS = 14_000;
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

  private SlowReaders(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) throws Exception {
    Rig rig = new Rig(Path.of(args[0]));
    try {
      rig.exit(new SlowReaders(rig).run() ? Rig.HELD : Rig.BROKEN);
    } catch (Exception e) {
      rig.log("could not run: " + e);
      rig.exit(Rig.NOT_RUN);
    }
  }

  private boolean run() throws Exception {
    String routes =
        Rig.route("file", "safe", "files", READ_MILLIS, 2)
            + ","
            + Rig.route("desk", "unsafe", "desk", ROUTE_TIMEOUT_MILLIS, 1);
    String services =
        "{\"name\":\"files\",\"max_connections\":360},{\"name\":\"desk\",\"max_connections\":100}";
    rig.store.put("config", "main", Rig.configuration(3, routes, services));
    for (int i = 0; i < 3; i++) {
      rig.store.put(
          "servers", "i-file-" + i, Rig.entry("files", rig.serve(this::file), "", "ready"));
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
    for (int i = 0; i < SLOW_CALLERS; i++) {
      int index = i;
      Thread.ofPlatform().daemon().start(() -> readFile(node.front, index));
      Rig.pause(GAP_MILLIS);
    }
    rig.log("all files asked for; " + state(node));
    Rig.pause(READ_MILLIS + 1_000);
    rig.log("all callers of files have left; " + state(node));
    int before = answered.get();
    Rig.pause(15_000);
    over.set(true);
    Rig.pause(ROUTE_TIMEOUT_MILLIS + SLACK_MILLIS + 500);
    rig.log("15 s later; " + state(node) + " answered_in_them=" + (answered.get() - before));
    try (Stream<String> lines = Files.lines(node.log, StandardCharsets.ISO_8859_1)) {
      rig.log("OutOfMemoryError in the node's log: " + lines.filter(SlowReaders::isFull).count());
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
        + " files: complete="
        + readDone
        + " other="
        + readOther;
  }

  // The runners.

  private boolean file(Rig.Message m, OutputStream out, Socket socket) throws IOException {
    if (m.target().startsWith("/larkkeel/")) {
      Rig.reply(out, 200, "Content-Type: application/json\r\n", "{}");
    } else {
      Rig.reply(out, 200, Rig.stamp(m), "x".repeat(ANSWER_BYTES));
    }
    return true;
  }

  private boolean desk(Rig.Message m, OutputStream out, Socket socket) throws IOException {
    if (!m.target().startsWith("/larkkeel/")) {
      Rig.pause(60);
    }
    Rig.reply(out, 200, Rig.stamp(m), "y".repeat(800));
    return true;
  }

  // The callers.

  private void readFile(int port, int index) {
    boolean slow = Rig.trouble();
    long end = System.nanoTime() + READ_MILLIS * 1_000_000L;
    String outcome = "cut";
    String status = "";
    long got = 0;
    try (SegmentSocket s = new SegmentSocket(port, RECEIVE_BYTES, READ_MILLIS / 1_000)) {
      String head =
          "GET /file/a HTTP/1.1\r\nHost: members.example\r\nX-Request-Id: s%d\r\n"
              + "X-Deadline-Ms: %d\r\n\r\n";
      s.write(head.formatted(index, READ_MILLIS).getBytes(StandardCharsets.UTF_8));
      InputStream in = s.input();
      byte[] part = new byte[4_096];
      for (int n = in.read(part); n >= 0; n = in.read(part)) {
        status = got == 0 ? new String(part, 9, 3, StandardCharsets.ISO_8859_1) : status;
        got += n;
        if (got >= ANSWER_BYTES || !status.equals("200")) {
          outcome = "complete";
          break;
        }
        if (System.nanoTime() > end) {
          outcome = "left";
          break;
        }
        if (slow) {
          Rig.pause(300);
        }
      }
    } catch (IOException e) {
      outcome = e.getClass().getSimpleName();
    }
    ("complete".equals(outcome) && status.equals("200") ? readDone : readOther).incrementAndGet();
    rig.log("file id=s" + index + " status=" + status + " read_bytes=" + got + " " + outcome);
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
    } catch (java.net.SocketTimeoutException e) {
      late.incrementAndGet();
      unanswered.incrementAndGet();
      rig.log("small id=" + id + " NO ANSWER after " + (ROUTE_TIMEOUT_MILLIS + SLACK_MILLIS) + " ms");
      return false;
    }
  }
}
