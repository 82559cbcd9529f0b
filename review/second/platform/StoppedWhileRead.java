/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A node gets SIGTERM while callers still read answers that their runners have finished. The
 * callers would be done well within the grace time and before their deadlines.
 *
 * <p>Usage: {@code java StoppedWhileRead RECORD}. With TROUBLE=0 no signal is sent.
 */
final class StoppedWhileRead {
  private static final int ANSWER_BYTES = Integer.getInteger("bytes", 2_000_000);
  private static final int CALLERS = Integer.getInteger("callers", 6);
  private static final int PART_BYTES = 8_192;
  private static final int READ_PAUSE_MILLIS = Integer.getInteger("pause", 22);
  private static final int DEADLINE_MILLIS = 14_000;

  private final Rig rig;
  private final AtomicInteger ran = new AtomicInteger();
  private final AtomicInteger complete = new AtomicInteger();
  private final AtomicInteger incomplete = new AtomicInteger();
  private final CountDownLatch done = new CountDownLatch(CALLERS);
  private volatile long signalled = Long.MAX_VALUE;

  private StoppedWhileRead(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) throws Exception {
    Rig rig = new Rig(Path.of(args[0]));
    try {
      rig.exit(new StoppedWhileRead(rig).run());
    } catch (Exception e) {
      rig.log("could not run: " + e);
      rig.exit(Rig.NOT_RUN);
    }
  }

  private int run() throws Exception {
    rig.store.put(
        "config",
        "main",
        Rig.configuration(
            3,
            Rig.route("file", "unsafe", "files", DEADLINE_MILLIS, 1),
            "{\"name\":\"files\",\"max_connections\":110}"));
    for (int i = 0; i < 3; i++) {
      rig.store.put(
          "servers", "i-file-" + i, Rig.entry("files", rig.serve(this::file), "", "ready"));
    }
    int peer = Rig.freePort();
    Rig.Node node = rig.start("front-1", "127.0.0.1", peer, "127.0.0.1:" + peer);
    rig.awaitReady(node);
    Rig.pause(1_000);
    for (int i = 0; i < CALLERS; i++) {
      int index = i;
      Thread.ofPlatform().daemon().start(() -> call(node.front, index));
    }
    for (int i = 0; ran.get() < CALLERS; i++) {
      if (i == 300) {
        rig.log("only " + ran + " requests have run");
        return Rig.NOT_RUN;
      }
      Rig.pause(10);
    }
    Rig.pause(500);
    if (Rig.trouble()) {
      signalled = System.nanoTime();
      rig.log("SIGTERM to " + node.name + "; all " + ran + " runners have finished; grace_s=8");
      node.process.destroy();
      node.process
          .onExit()
          .thenRun(() -> rig.log("node has ended " + sinceSignal() + " ms after SIGTERM"));
    }
    if (!done.await(DEADLINE_MILLIS, TimeUnit.MILLISECONDS)) {
      return Rig.NOT_RUN;
    }
    rig.log("answers complete=" + complete + " incomplete=" + incomplete);
    rig.log(incomplete.get() > 0 ? "BROKEN" : "held");
    return incomplete.get() > 0 ? Rig.BROKEN : Rig.HELD;
  }

  private long sinceSignal() {
    return (System.nanoTime() - signalled) / 1_000_000;
  }

  private boolean file(Rig.Message m, OutputStream out, Socket socket) throws IOException {
    if (m.target().startsWith("/larkkeel/")) {
      Rig.reply(out, 200, "Content-Type: application/json\r\n", "{}");
    } else {
      Rig.pause(60);
      Rig.reply(out, 200, Rig.stamp(m), "x".repeat(ANSWER_BYTES));
      ran.incrementAndGet();
      rig.log("ran id=" + m.header("X-Request-Id") + " answer_bytes=" + ANSWER_BYTES);
    }
    return true;
  }

  private void call(int port, int index) {
    long sent = System.nanoTime();
    long got = 0;
    String end = "end of the connection";
    try (SegmentSocket s = new SegmentSocket(port, PART_BYTES, DEADLINE_MILLIS / 1_000)) {
      String head =
          "POST /file/a HTTP/1.1\r\nHost: members.example\r\nX-Request-Id: s%d\r\n"
              + "X-Deadline-Ms: %d\r\nContent-Length: 5\r\n\r\nhello";
      s.write(head.formatted(index, DEADLINE_MILLIS).getBytes(StandardCharsets.UTF_8));
      InputStream in = s.input();
      Rig.Message answer = Rig.readHead(in);
      if (answer == null || answer.status() != 200) {
        throw new IOException(answer == null ? "no answer" : answer.first);
      }
      byte[] part = new byte[PART_BYTES];
      for (int n = in.read(part); n >= 0; n = in.read(part)) {
        got += n;
        if (got == ANSWER_BYTES) {
          end = "complete";
          break;
        }
        Rig.pause(READ_PAUSE_MILLIS);
      }
    } catch (IOException e) {
      end = e.getMessage();
    }
    (end.equals("complete") ? complete : incomplete).incrementAndGet();
    rig.log(
        "answered id=s%d read=%d of %d, %d ms after it was sent: %s"
            .formatted(index, got, ANSWER_BYTES, (System.nanoTime() - sent) / 1_000_000, end));
    done.countDown();
  }
}
