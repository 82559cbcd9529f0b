/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A node is stopped while runners of another version join. Streams that begin meanwhile at other
 * nodes break, and their callers take them up at the stopped node: some requests are in its socket
 * buffers when it goes on, others come shortly after. Checks that at most two streams hold events
 * of two builds.
 *
 * <p>Variables of the environment:
 *
 * <ul>
 *   <li>{@code CASE}: what happens, in lower case with hyphens, see {@link Case};
 *   <li>{@code FREEZE_MS}: for how long the node is stopped; drawn from 1000 to 6000 by default;
 *   <li>{@code SEED}: fixes pauses, moments and prompts, not how threads and processes interleave;
 *   <li>{@code KEEP}: keeps the logs of the nodes and the record.
 * </ul>
 *
 * <p>Exits with 1 if a rule was broken, 0 if they held, 2 if the case could not run.
 */
final class NodeFrozen {
  private enum Case {
    /** Callers lose the paths to the nodes at which their streams began; these nodes live. */
    PATHS_LOST,
    /** The streams begin at two nodes, which are killed. */
    NODES_KILLED,
    /** As paths lost; the store answers the node 0.5 s after it goes on. */
    STORE_LATE,
    /** As nodes killed; the store answers the node 0.5 s after it goes on. */
    KILLED_STORE_LATE,
    /**
     * As paths lost; callers take streams up at the node until it is stopped, so that its list was
     * confirmed shortly before.
     */
    CONFIRMED_BEFORE,
    /** No node is stopped, and paths are lost. */
    CONTROL;

    private boolean kills() {
      return this == NODES_KILLED || this == KILLED_STORE_LATE;
    }

    private boolean delaysStore() {
      return this == STORE_LATE || this == KILLED_STORE_LATE;
    }
  }

  private static final List<String> ZONE_OF_NODE =
      List.of("ulemiste", "ulemiste", "ulemiste", "lasnamae", "lasnamae", "maardu", "maardu");

  private static final List<String> ZONES = List.of("ulemiste", "lasnamae", "maardu");
  private static final int NODES = ZONE_OF_NODE.size();
  private static final List<Integer> KILLED = List.of(0, 3);
  private static final int FROZEN = 2;

  /** Runners of each build; two of nine read prompts. */
  private static final int RUNNERS = 9;

  private static final int READERS = 2;
  private static final int STREAMS = 48;
  private static final int EVENTS = 70;
  private static final int EVENT_MILLIS = 45;

  /** From the stop of the node to the new runners, and from these to the first stream. */
  private static final int JOIN_MILLIS = 100;

  private static final int SERVE_MILLIS = 300;

  /** From the first stream to the time at which the node goes on, at most. */
  private static final int LEAD_MILLIS = 1_400;

  private static final int STORE_DELAY_MILLIS = 500;
  private static final int ATTEMPTS = 4;
  private static final int SILENCE_MILLIS = 3_600;
  private static final int MOST_MIXED = 2;
  private static final Pattern RESOLVED =
      Pattern.compile("event=stream_resolved .*source=(\\S*) build=\\S* witness=(\\S*)");

  private final Case what;
  private final int seed = number("SEED", 1);
  private final SplittableRandom random = new SplittableRandom(seed);
  private final int freezeMillis = number("FREEZE_MS", 1_000 + random.nextInt(5_001));
  private final Path folder;
  private final Kit.Record record;
  private final List<Kit.Node> nodes = new ArrayList<>();
  private final List<Caller> callers = new ArrayList<>();
  private final List<Caller> before = new ArrayList<>();
  private final AtomicInteger inBuffers = new AtomicInteger();

  /** When the node goes on. */
  private volatile long thawAt;

  private NodeFrozen(Case what, Path folder, Kit.Record record) {
    this.what = what;
    this.folder = folder;
    this.record = record;
  }

  public static void main(String[] args) {
    int status = 2;
    try {
      Path folder = Files.createTempDirectory("drill");
      status = play(System.getenv().getOrDefault("CASE", "paths-lost"), folder);
      if (System.getenv("KEEP") == null) {
        Kit.delete(folder);
      } else {
        System.err.println("logs in " + folder);
      }
    } catch (Exception e) {
      System.err.println("could not run: " + e);
    }
    System.exit(status);
  }

  private static int play(String name, Path folder) throws Exception {
    try (Kit.Record record = new Kit.Record(folder.resolve("record.txt"))) {
      NodeFrozen drill =
          new NodeFrozen(
              Case.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_')), folder, record);
      try {
        drill.run();
        return drill.judge(name);
      } finally {
        for (Kit.Node n : drill.nodes) {
          n.end();
        }
      }
    }
  }

  private static int number(String variable, int otherwise) {
    String value = System.getenv(variable);
    return value == null ? otherwise : Integer.parseInt(value);
  }

  // The course of the case.

  private void run() throws Exception {
    String net = Kit.net();
    Kit.Store store = new Kit.Store(net, NODES, 8142);
    store.put("config", "main", Prompts.configuration(Prompts.TIMEOUT_MILLIS));
    addRunners(store, net, 0, "v1");
    String seeds = net + ".10:8146," + net + ".11:8146";
    for (int i = 0; i < NODES; i++) {
      nodes.add(new Kit.Node(folder, net, i, ZONE_OF_NODE.get(i), seeds, store.address(i)));
    }
    for (Kit.Node n : nodes) {
      n.start();
    }
    Kit.awaitReady(nodes);
    Thread.sleep(5_000);
    List<Caller> warm = new ArrayList<>();
    for (int i = 0; i < 2 * NODES; i++) {
      warm.add(new Caller("warm-" + i, i % NODES));
      warm.getLast().begin();
      Thread.sleep(50);
    }
    for (Caller c : warm) {
      c.await();
      if (!c.isWhole()) {
        throw new IllegalStateException("a stream was not served before any disruption");
      }
    }
    if (what == Case.CONFIRMED_BEFORE) {
      takeUpBefore();
    }
    long stopAt = System.nanoTime();
    thawAt = stopAt + freezeMillis * 1_000_000L;
    signal("STOP");
    if (what.delaysStore()) {
      store.partition(FROZEN, true);
    }
    Thread.sleep(JOIN_MILLIS);
    addRunners(store, net, RUNNERS, "v2");
    Thread.sleep(Math.max(SERVE_MILLIS, freezeMillis - JOIN_MILLIS - LEAD_MILLIS));
    Thread thaw =
        Thread.startVirtualThread(
            () -> {
              sleepUntil(thawAt);
              signal("CONT");
              if (what.delaysStore()) {
                sleepUntil(thawAt + STORE_DELAY_MILLIS * 1_000_000L);
                store.partition(FROZEN, false);
              }
            });
    for (int i = 0; i < STREAMS; i++) {
      callers.add(new Caller("main-" + i, beginningNode(i)));
      callers.getLast().breaksAt = thawAt - (50 + random.nextInt(200)) * 1_000_000L;
      callers.getLast().takesUpAt = thawAt + (random.nextInt(350) - 200) * 1_000_000L;
      callers.getLast().begin();
      Thread.sleep(4);
    }
    if (what.kills()) {
      sleepUntil(thawAt - 200_000_000L);
      for (int i : KILLED) {
        nodes.get(i).end();
      }
      record.line("the processes of %d nodes are killed", KILLED.size());
    }
    thaw.join();
    for (Caller c : callers) {
      c.await();
    }
    for (Caller c : before) {
      c.await();
    }
  }

  /** Has streams taken up at the node that is about to be stopped. */
  private void takeUpBefore() throws InterruptedException {
    long from = System.nanoTime() + 1_000_000_000L;
    for (int i = 0; i < 12; i++) {
      before.add(new Caller("before-" + i, i % 2));
      before.getLast().breaksAt = from - 100_000_000L;
      before.getLast().takesUpAt = from + i * 30_000_000L;
      before.getLast().begin();
    }
    sleepUntil(from + 12 * 30_000_000L);
  }

  private int beginningNode(int stream) {
    if (what.kills()) {
      return KILLED.get(stream % KILLED.size());
    }
    int node = stream % (NODES - 1);
    return node < FROZEN ? node : node + 1;
  }

  private void addRunners(Kit.Store store, String net, int from, String version)
      throws IOException {
    for (int i = 0; i < RUNNERS; i++) {
      ModelRunner r =
          new ModelRunner(
              store,
              new InetSocketAddress(net + "." + (100 + from + i), 8080),
              "clause-readers",
              ZONES.get(i % ZONES.size()),
              i < READERS ? "prefill" : "decode",
              version,
              new Observer(),
              random.nextLong());
      r.events = EVENTS;
      r.eventMillis = EVENT_MILLIS;
    }
    record.line("runners of version %s are listed", version);
  }

  private void signal(String name) {
    if (what == Case.CONTROL) {
      return;
    }
    try {
      Process p =
          new ProcessBuilder("kill", "-" + name, Long.toString(nodes.get(FROZEN).pid())).start();
      if (p.waitFor() != 0) {
        throw new IllegalStateException("kill -" + name + " failed");
      }
      record.line("%s: %s", nodes.get(FROZEN).name, name);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void sleepUntil(long nanos) {
    try {
      Thread.sleep(Duration.ofNanos(Math.max(0, nanos - System.nanoTime())));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A caller with one stream, which breaks once and is taken up at the stopped node. */
  private final class Caller implements Runnable {
    private final String name;
    private final int firstNode;
    private final String ownPart = "%08x".formatted(random.nextInt());
    private final SplittableRandom choice = random.split();
    private final Set<String> writers = new TreeSet<>();
    private long breaksAt = Long.MAX_VALUE;
    private long takesUpAt;
    private Thread thread;

    /** The id of the request that began the stream; null before its first event. */
    private String stream;

    private String build = "";
    private int last;
    private boolean ended;
    private boolean broke;
    private boolean disordered;
    private int refusals;

    private Caller(String name, int firstNode) {
      this.name = name;
      this.firstNode = firstNode;
    }

    private void begin() {
      thread = Thread.startVirtualThread(this);
    }

    private void await() throws InterruptedException {
      if (!thread.join(Duration.ofSeconds(60))) {
        throw new IllegalStateException(name + " has not ended");
      }
    }

    private boolean isWhole() {
      return ended && !disordered && last == EVENTS;
    }

    @Override
    public void run() {
      attempt(0, firstNode);
      broke = last > 0 && !ended;
      if (!broke) {
        return;
      }
      breaksAt = Long.MAX_VALUE;
      sleepUntil(takesUpAt);
      if (System.nanoTime() < thawAt) {
        inBuffers.incrementAndGet();
      }
      int node = FROZEN;
      for (int i = 1; !ended && i <= ATTEMPTS; i++) {
        attempt(i, node);
        sleepUntil(System.nanoTime() + choice.nextInt(150, 250) * 1_000_000L);
        do {
          node = choice.nextInt(NODES);
        } while (what.kills() && KILLED.contains(node));
      }
      if (writers.size() > 1) {
        record.line("MIXED stream=%s holds events of %s", stream, writers);
      }
    }

    private void attempt(int number, int node) {
      final String id = name + "-" + number;
      final int first = last;
      final long begin = System.nanoTime();
      String resume =
          last == 0 ? "" : "Last-Event-Id: %d\r\nResumes: %s\r\n".formatted(last, stream);
      String note = "";
      int status = 0;
      try (Socket s = new Socket()) {
        s.connect(nodes.get(node).front(), 1_000);
        s.setSoTimeout(SILENCE_MILLIS);
        Kit.write(
            s.getOutputStream(),
            Kit.request(
                Prompts.line(),
                Prompts.headers(id, ownPart, Prompts.TIMEOUT_MILLIS) + resume,
                "prompt " + name));
        InputStream in = new BufferedInputStream(s.getInputStream());
        Kit.Message head = Kit.readHead(in);
        status = head.status();
        if (status == 200 && head.header("Transfer-Encoding") != null) {
          readEvents(id, in);
        } else {
          refusals++;
          note = " retry_after=" + head.header("Retry-After");
        }
      } catch (IOException e) {
        note = " " + e;
      }
      record.line(
          "answer id=%s node=%s status=%d events=%d..%d ended=%b writers=%s ms=%d%s",
          id,
          nodes.get(node).name,
          status,
          first,
          last,
          ended,
          writers,
          (System.nanoTime() - begin) / 1_000_000,
          note);
    }

    private void readEvents(String id, InputStream in) throws IOException {
      StringBuilder text = new StringBuilder();
      for (byte[] c = Kit.readChunk(in); c.length > 0; c = Kit.readChunk(in)) {
        text.append(new String(c, StandardCharsets.ISO_8859_1));
        for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
          readEvent(id, text.substring(0, end));
          text.delete(0, end + 2);
        }
        if (last > 0 && System.nanoTime() >= breaksAt) {
          return;
        }
      }
      ended = true;
    }

    private void readEvent(String id, String event) {
      int number = 0;
      String writer = "";
      for (String l : event.split("\n")) {
        if (l.startsWith("id:")) {
          number = Integer.parseInt(l.substring("id:".length()).strip());
        } else if (l.startsWith("data: ")) {
          writer = l.split(" ")[1];
        }
      }
      if (number == 0) {
        return;
      }
      if (number != last + 1) {
        disordered = true;
        record.line("DISORDERED stream=%s event=%d after=%d", stream, number, last);
      }
      if (stream == null) {
        stream = id;
        build = writer;
      }
      last = number;
      writers.add(writer);
    }
  }

  private final class Observer implements ModelRunner.Observer {
    @Override
    public void reached(ModelRunner runner, Kit.Message request) {
      record.line(
          "run id=%s runner=%s version=%s last_event=%s resumes=%s",
          request.header("X-Request-Id"),
          runner.id(),
          runner.version(),
          request.header("Last-Event-Id"),
          request.header("Resumes"));
    }

    @Override
    public void crashed(ModelRunner runner, Kit.Message request) {}

    @Override
    public void failed(ModelRunner runner, Kit.Message request) {}

    @Override
    public void ordered(ModelRunner runner, String body) {
      record.line("ordered runner=%s version=%s %s", runner.id(), runner.version(), body);
    }
  }

  // The verdict.

  private int judge(String name) throws IOException {
    List<Caller> broke = callers.stream().filter(c -> c.broke).toList();
    List<Caller> later = broke.stream().filter(c -> c.build.equals("v2")).toList();
    List<Caller> all = new ArrayList<>(callers);
    all.addAll(before);
    final long mixed = all.stream().filter(c -> c.writers.size() > 1).count();
    int status = 0;
    String verdict = "held";
    if (mixed > MOST_MIXED) {
      status = 1;
      verdict = "streams-of-two-builds";
    } else if (broke.size() < STREAMS / 2 || later.isEmpty()) {
      status = 2;
      verdict = "could-not-run";
    }
    String line =
        ("case=%s seed=%d freeze_ms=%d streams=%d of_two_builds=%d broke=%d broke_v2=%d"
                + " in_buffers=%d served=%d served_v2=%d refusals=%d resolved_there=%s verdict=%s")
            .formatted(
                name,
                seed,
                freezeMillis,
                callers.size(),
                mixed,
                broke.size(),
                later.size(),
                inBuffers.get(),
                broke.stream().filter(Caller::isWhole).count(),
                later.stream().filter(Caller::isWhole).count(),
                broke.stream().mapToInt(c -> c.refusals).sum(),
                resolved(),
                verdict);
    record.line("%s", line);
    System.out.println(line);
    return status;
  }

  /** Returns how the stopped node knew the builds of streams, from its log: counts by kind. */
  private String resolved() throws IOException {
    Map<String, Integer> counts = new TreeMap<>();
    for (String l :
        Files.readAllLines(nodes.get(FROZEN).log(), StandardCharsets.ISO_8859_1)) {
      Matcher m = RESOLVED.matcher(l);
      if (m.find()) {
        counts.merge(m.group(1) + "/" + m.group(2), 1, Integer::sum);
      }
    }
    List<String> parts = new ArrayList<>();
    counts.forEach((kind, count) -> parts.add(kind + ":" + count));
    return parts.isEmpty() ? "none" : String.join(",", parts);
  }
}
