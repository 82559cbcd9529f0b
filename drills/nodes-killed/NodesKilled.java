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
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * All nodes are killed while streams run and the builds of the runners change, and are started
 * again. Callers take the streams that broke up again. Checks that at most two streams hold events
 * of two builds, and that streams go on where runners of their build serve.
 *
 * <p>Variables of the environment:
 *
 * <ul>
 *   <li>{@code CASE}: what happens, in lower case with hyphens, see {@link Case};
 *   <li>{@code KILL_MS}: the time from the last change of the list of runners to the kill;
 *   <li>{@code DARK_MS}: the time from the kill to the start, 600 by default;
 *   <li>{@code LIVED_MS}: how long the nodes have been ready before traffic begins, 5000 by
 *       default;
 *   <li>{@code SEED}: fixes nodes, pauses and prompts, not how threads and processes interleave;
 *   <li>{@code KEEP}: keeps the logs of the nodes and the record.
 * </ul>
 *
 * <p>Exits with 1 if a rule was broken, 0 if they held, 2 if the case could not run.
 */
final class NodesKilled {
  private enum Case {
    /** Runners of v2 are listed, those of v1 leave the list and serve on. */
    REPLACED(700),
    /** The same, and three of seven nodes don't reach the store for 3 s after their start. */
    STORE_CUT(700),
    /** Runners of v2 serve for 2 s beside v1 and leave the list. */
    CAME_AND_LEFT(700),
    /** Both builds are listed and serve, before the kill and after it. */
    MIXED(2_000),
    /** Only v1 is ever listed. */
    CONTROL(2_000),
    /** As mixed; only the nodes of one zone are killed. */
    ZONE(2_000),
    /** As mixed; two further nodes start with those that were killed. */
    ADDED(2_000);

    private final int killMillis;

    Case(int killMillis) {
      this.killMillis = killMillis;
    }

    /** Whether v1 has left the list when the nodes start again, so that no stream can go on. */
    private boolean leavesNone() {
      return this == REPLACED || this == STORE_CUT;
    }

    /** Whether streams begin at runners of both builds. */
    private boolean beginsAtBoth() {
      return !leavesNone() && this != CONTROL;
    }
  }

  /** The zones of the nodes; the last two start in {@link Case#ADDED} only. */
  private static final List<String> ZONE_OF_NODE =
      List.of(
          "ulemiste",
          "ulemiste",
          "ulemiste",
          "lasnamae",
          "lasnamae",
          "maardu",
          "maardu",
          "lasnamae",
          "maardu");

  private static final int NODES = 7;
  private static final String ZONE_KILLED = "ulemiste";
  private static final List<String> ZONES = List.of("ulemiste", "lasnamae", "maardu");

  /** One node of each zone. */
  private static final List<Integer> CUT = List.of(2, 4, 6);

  private static final int CUT_MILLIS = 3_000;

  /** Runners of each build; two of nine read prompts, so that none is ordered to change. */
  private static final int RUNNERS = 9;

  private static final int READERS = 2;
  private static final int EVENTS = 70;
  private static final int STREAMS = 48;
  private static final int STREAM_MILLIS = 3_000;
  private static final int STREAM_SPACING_MILLIS = 10;

  /** From the first stream to the first change: all have begun, and had an event. */
  private static final int SETTLE_MILLIS = 900;

  /** What is left of the first stream at the kill, at least. */
  private static final int LEFT_MILLIS = 1_000;

  private static final int BOTH_LISTED_MILLIS = 400;
  private static final int VISIT_MILLIS = 2_000;
  private static final int NEW_STREAMS = 20;

  /** Callers come, with new streams and those that broke, within this time once a node is ready. */
  private static final int SPREAD_MILLIS = 500;

  private static final int ATTEMPTS = 5;
  private static final int SILENCE_MILLIS = 5_000;
  private static final int READY_MILLIS = 20_000;
  private static final int MOST_MIXED = 2;
  private static final double LEAST_SHARE = 0.8;
  private static final Pattern RESOLVED =
      Pattern.compile("event=stream_resolved .*source=(\\S*) build=\\S* witness=(\\S*)");

  private final Case what;
  private final int killMillis;
  private final int darkMillis = number("DARK_MS", 600);
  private final int livedMillis = number("LIVED_MS", 5_000);
  private final int seed = number("SEED", 1);
  private final SplittableRandom random = new SplittableRandom(seed);

  /** From the first stream to the kill. */
  private final int leadMillis;

  private final int streamMillis;
  private final int timeoutMillis;
  private final Path folder;
  private final Kit.Record record;
  private final List<Kit.Node> nodes = new ArrayList<>();
  private final List<Caller> callers = new ArrayList<>();
  private final List<Caller> newCallers = new ArrayList<>();

  /** The nodes that the balancer knows to be ready, by index. */
  private final Set<Integer> ready = new TreeSet<>();

  /** The nodes that have been started and not killed, by index. */
  private final Set<Integer> started = new TreeSet<>();

  private NodesKilled(Case what, Path folder, Kit.Record record) {
    this.what = what;
    this.folder = folder;
    this.record = record;
    killMillis = number("KILL_MS", what.killMillis);
    leadMillis =
        switch (what) {
          case REPLACED, STORE_CUT -> SETTLE_MILLIS + BOTH_LISTED_MILLIS + killMillis;
          case CAME_AND_LEFT -> VISIT_MILLIS - 500 + killMillis;
          case MIXED, CONTROL, ZONE, ADDED -> 1_500;
        };
    streamMillis = Math.max(STREAM_MILLIS, leadMillis + LEFT_MILLIS);
    timeoutMillis = Math.max(Prompts.TIMEOUT_MILLIS, streamMillis + 11_000);
  }

  public static void main(String[] args) {
    int status = 2;
    try {
      Path folder = Files.createTempDirectory("drill");
      status = play(System.getenv().getOrDefault("CASE", "replaced"), folder);
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
      Case what = Case.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
      NodesKilled drill = new NodesKilled(what, folder, record);
      try {
        drill.run();
        return drill.judge(name);
      } finally {
        for (Kit.Node n : drill.nodes) {
          n.end();
        }
      }
    } catch (Exception e) {
      System.err.println("could not run: " + e);
      return 2;
    }
  }

  private static int number(String variable, int otherwise) {
    String value = System.getenv(variable);
    return value == null ? otherwise : Integer.parseInt(value);
  }

  // The course of the case.

  private void run() throws Exception {
    String net = Kit.net();
    Kit.Store store = new Kit.Store(net, ZONE_OF_NODE.size(), 8142);
    store.put("config", "main", Prompts.configuration(timeoutMillis));
    final List<ModelRunner> first = addRunners(store, net, 0, "v1");
    String seeds = net + ".10:8146," + net + ".11:8146";
    for (int i = 0; i < (what == Case.ADDED ? ZONE_OF_NODE.size() : NODES); i++) {
      nodes.add(new Kit.Node(folder, net, i, ZONE_OF_NODE.get(i), seeds, store.address(i)));
    }
    for (Kit.Node n : nodes.subList(0, NODES)) {
      start(n);
    }
    Kit.awaitReady(nodes.subList(0, NODES));
    for (Kit.Node n : nodes) {
      Thread.startVirtualThread(() -> observe(n));
    }
    Thread.sleep(livedMillis);
    record.line("traffic begins");
    List<Caller> warm = new ArrayList<>();
    for (int i = 0; i < 2 * NODES; i++) {
      warm.add(new Caller("warm-" + i, i % NODES));
    }
    begin(warm, 50);
    await(warm);
    for (Caller c : warm) {
      if (!c.isWhole()) {
        throw new IllegalStateException("a stream was not served before any disruption");
      }
    }
    for (int i = 0; i < STREAMS; i++) {
      callers.add(new Caller("main-" + i, i % NODES));
    }
    changeBuilds(store, net, first);
    kill();
    Thread.sleep(darkMillis);
    if (what == Case.STORE_CUT) {
      CUT.forEach(i -> store.partition(i, true));
    }
    record.line("the nodes start");
    for (Kit.Node n : nodes) {
      if (!isStarted(n.index)) {
        start(n);
      }
    }
    if (what == Case.STORE_CUT) {
      Thread.startVirtualThread(
          () -> {
            sleep(CUT_MILLIS);
            CUT.forEach(i -> store.partition(i, false));
            record.line("the cut from the store has ended");
          });
    }
    awaitStarted();
    for (int i = 0; i < NEW_STREAMS; i++) {
      newCallers.add(new Caller("new-" + i, -1));
    }
    record.line("new streams begin");
    begin(newCallers, SPREAD_MILLIS / NEW_STREAMS);
    await(callers);
    await(newCallers);
  }

  /** Changes the list of runners while the streams begin, up to the moment of the kill. */
  private void changeBuilds(Kit.Store store, String net, List<ModelRunner> first) throws Exception {
    switch (what) {
      case REPLACED, STORE_CUT -> {
        long begin = System.nanoTime();
        begin(callers, STREAM_SPACING_MILLIS);
        sleepUntil(begin, SETTLE_MILLIS);
        addRunners(store, net, RUNNERS, "v2");
        Thread.sleep(BOTH_LISTED_MILLIS);
        leave(store, first);
        Thread.sleep(killMillis);
      }
      case CAME_AND_LEFT -> {
        final List<ModelRunner> second = addRunners(store, net, RUNNERS, "v2");
        final long listed = System.nanoTime();
        Thread.sleep(500);
        begin(callers, STREAM_SPACING_MILLIS);
        sleepUntil(listed, VISIT_MILLIS);
        leave(store, second);
        Thread.sleep(killMillis);
      }
      case MIXED, CONTROL, ZONE, ADDED -> {
        if (killMillis >= leadMillis) {
          addSecond(store, net);
          Thread.sleep(killMillis - leadMillis);
        }
        long begin = System.nanoTime();
        begin(callers, STREAM_SPACING_MILLIS);
        if (killMillis < leadMillis) {
          sleepUntil(begin, leadMillis - killMillis);
          addSecond(store, net);
        }
        sleepUntil(begin, leadMillis);
      }
      default -> throw new AssertionError(what);
    }
  }

  private void addSecond(Kit.Store store, String net) throws IOException {
    if (what != Case.CONTROL) {
      addRunners(store, net, RUNNERS, "v2");
    }
  }

  private List<ModelRunner> addRunners(Kit.Store store, String net, int from, String version)
      throws IOException {
    List<ModelRunner> added = new ArrayList<>();
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
      r.eventMillis = (streamMillis - r.firstMillis) / EVENTS;
      added.add(r);
    }
    record.line("runners of version %s are listed", version);
    return added;
  }

  /** Removes runners from the list; they serve on. */
  private void leave(Kit.Store store, List<ModelRunner> leaving) {
    for (ModelRunner r : leaving) {
      store.remove("servers", r.id());
    }
    record.line("runners of version %s have left the list", leaving.getFirst().version());
  }

  private void kill() throws InterruptedException {
    List<Kit.Node> killed =
        nodes.stream()
            .filter(n -> isStarted(n.index))
            .filter(n -> what != Case.ZONE || isOfKilledZone(n.index))
            .toList();
    synchronized (ready) {
      for (Kit.Node n : killed) {
        started.remove(n.index);
        ready.remove(n.index);
      }
    }
    record.line("the processes of %d nodes are killed", killed.size());
    List<Thread> ends = new ArrayList<>();
    for (Kit.Node n : killed) {
      ends.add(
          Thread.startVirtualThread(
              () -> {
                try {
                  n.end();
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              }));
    }
    for (Thread t : ends) {
      t.join();
    }
  }

  // The balancer.

  private void start(Kit.Node node) throws IOException {
    node.start();
    synchronized (ready) {
      started.add(node.index);
    }
  }

  private boolean isStarted(int node) {
    synchronized (ready) {
      return started.contains(node);
    }
  }

  private void observe(Kit.Node node) {
    boolean before = false;
    while (true) {
      boolean now = isStarted(node.index) && node.isReady();
      synchronized (ready) {
        now &= started.contains(node.index);
        if (now) {
          ready.add(node.index);
        } else {
          ready.remove(node.index);
        }
        ready.notifyAll();
      }
      if (now != before) {
        record.line("%s is %s", node.name, now ? "ready" : "not ready");
      }
      before = now;
      sleep(40);
    }
  }

  /** Returns any node that is ready, once one is. */
  private Kit.Node pick(SplittableRandom choice) throws InterruptedException {
    long end = System.nanoTime() + READY_MILLIS * 1_000_000L;
    synchronized (ready) {
      while (ready.isEmpty()) {
        long left = (end - System.nanoTime()) / 1_000_000;
        if (left <= 0) {
          throw new IllegalStateException("no node is ready");
        }
        ready.wait(left);
      }
      return nodes.get(List.copyOf(ready).get(choice.nextInt(ready.size())));
    }
  }

  /** Waits until a node that was started again is ready. */
  private void awaitStarted() throws InterruptedException {
    long end = System.nanoTime() + READY_MILLIS * 1_000_000L;
    while (System.nanoTime() < end) {
      synchronized (ready) {
        if (ready.stream().anyMatch(i -> what != Case.ZONE || isOfKilledZone(i))) {
          return;
        }
      }
      Thread.sleep(20);
    }
    throw new IllegalStateException("no node is ready after the restart");
  }

  private static boolean isOfKilledZone(int node) {
    return ZONE_OF_NODE.get(node).equals(ZONE_KILLED);
  }

  private static void sleepUntil(long since, int millis) throws InterruptedException {
    long left = millis - (System.nanoTime() - since) / 1_000_000;
    Thread.sleep(Math.max(0, left));
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // Callers.

  private static void begin(List<Caller> list, int spacingMillis) throws InterruptedException {
    for (Caller c : list) {
      c.thread = Thread.startVirtualThread(c);
      Thread.sleep(spacingMillis);
    }
  }

  private void await(List<Caller> list) throws InterruptedException {
    for (Caller c : list) {
      if (!c.thread.join(Duration.ofMillis(streamMillis + 60_000L))) {
        throw new IllegalStateException(c.name + " has not ended");
      }
    }
  }

  /** A caller with one stream; at first it goes to one node, afterwards to any ready one. */
  private final class Caller implements Runnable {
    private final String name;

    /** Less than 0 for any. */
    private final int firstNode;

    private final SplittableRandom choice = random.split();
    private final String ownPart = "%08x".formatted(choice.nextInt());
    private final Set<String> writers = new TreeSet<>();
    private final List<Long> refusalNanos = new ArrayList<>();
    private Thread thread;

    /** The id of the request that began the stream; null before its first event. */
    private String stream;

    private int last;
    private boolean ended;
    private boolean disordered;

    /** The build of the first event. */
    private String build = "";

    /** Whether the first attempt ended early, after an event. */
    private boolean broke;

    /** The attempts to take the stream up. */
    private int attempts;

    private int refusals;

    /** The attempts to take the stream up that got no answer. */
    private int unanswered;

    /** The pause before the next attempt. */
    private long pauseMillis;

    private long takenUpNanos;

    /** From the first attempt to take the stream up to its next event; 0 if there was none. */
    private long goneOnNanos;

    private Caller(String name, int firstNode) {
      this.name = name;
      this.firstNode = firstNode;
    }

    /** Whether all events came, once each and in order, and the end. */
    private boolean isWhole() {
      return ended && !disordered && last == EVENTS;
    }

    @Override
    public void run() {
      try {
        attempt(0, firstNode < 0 ? pick(choice) : nodes.get(firstNode));
        broke = last > 0 && !ended;
        if (broke) {
          pick(choice);
          pauseMillis = choice.nextInt(SPREAD_MILLIS);
        }
        int most = broke ? ATTEMPTS : firstNode < 0 ? ATTEMPTS - 1 : 0;
        for (int i = 1; !ended && i <= most; i++) {
          Thread.sleep(pauseMillis);
          Kit.Node node = pick(choice);
          if (takenUpNanos == 0) {
            takenUpNanos = System.nanoTime();
          }
          attempts++;
          attempt(i, node);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (IllegalStateException e) {
        record.line("caller %s: %s", name, e.getMessage());
      }
      if (writers.size() > 1) {
        record.line("MIXED stream=%s holds events of %s", stream, writers);
      }
    }

    private void attempt(int number, Kit.Node node) {
      final String id = name + "-" + number;
      final int before = last;
      final long begin = System.nanoTime();
      pauseMillis = choice.nextInt(150, 250);
      String resume =
          last == 0 ? "" : "Last-Event-Id: %d\r\nResumes: %s\r\n".formatted(last, stream);
      String note = "";
      int status = 0;
      try (Socket s = new Socket()) {
        s.connect(node.front(), 1_000);
        s.setSoTimeout(SILENCE_MILLIS);
        Kit.write(
            s.getOutputStream(),
            Kit.request(
                Prompts.line(),
                Prompts.headers(id, ownPart, timeoutMillis) + resume,
                "prompt " + name));
        InputStream in = new BufferedInputStream(s.getInputStream());
        Kit.Message head = Kit.readHead(in);
        status = head.status();
        if (status == 200 && head.header("Transfer-Encoding") != null) {
          readEvents(id, in);
        } else {
          refusals++;
          refusalNanos.add(System.nanoTime() - begin);
          String rest = head.header("Retry-After");
          note = " retry_after=" + rest + " not_run=" + head.header("X-Not-Run");
          if (rest != null && Double.parseDouble(rest) < 1) {
            pauseMillis = Math.max(pauseMillis, (long) (1_000 * Double.parseDouble(rest)));
          }
        }
      } catch (IOException e) {
        note = " " + e;
        unanswered += number > 0 && status == 0 ? 1 : 0;
      }
      record.line(
          "answer id=%s node=%s status=%d events=%d..%d ended=%b writers=%s ms=%d%s",
          id,
          node.name,
          status,
          before,
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
      if (takenUpNanos != 0 && goneOnNanos == 0) {
        goneOnNanos = System.nanoTime() - takenUpNanos;
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
    List<Caller> all = new ArrayList<>(callers);
    all.addAll(newCallers);
    final long mixed = all.stream().filter(c -> c.writers.size() > 1).count();
    final List<Caller> broke = callers.stream().filter(c -> c.broke).toList();
    final List<Caller> later = broke.stream().filter(c -> c.build.equals("v2")).toList();
    final List<Caller> earlier = broke.stream().filter(c -> c.build.equals("v1")).toList();
    final List<Caller> going = what == Case.CAME_AND_LEFT ? earlier : broke;
    final long newWhole = whole(newCallers);
    final boolean lacksLater =
        what.beginsAtBoth()
            && (what == Case.CAME_AND_LEFT || killMillis >= leadMillis)
            && later.isEmpty();
    int status = 0;
    String verdict = "held";
    if (mixed > MOST_MIXED) {
      status = 1;
      verdict = "streams-of-two-builds";
    } else if (broke.size() < STREAMS / (what == Case.ZONE ? 4 : 2)
        || earlier.isEmpty()
        || lacksLater
        || newWhole < NEW_STREAMS / 2) {
      status = 2;
      verdict = "could-not-run";
    } else if (!what.leavesNone()
        && (double) whole(going) / going.size() < LEAST_SHARE * newWhole / NEW_STREAMS) {
      status = 1;
      verdict = "streams-did-not-go-on";
    }
    String line =
        ("case=%s seed=%d kill_ms=%d dark_ms=%d streams=%d of_two_builds=%d"
                + " broke=%d broke_v1=%d broke_v2=%d served=%d served_v1=%d served_v2=%d"
                + " refusals=%d unanswered=%d attempts=%d new=%d new_served=%d"
                + " first_event_ms=%s refusal_ms=%s resolved=%s verdict=%s")
            .formatted(
                name,
                seed,
                killMillis,
                darkMillis,
                callers.size(),
                mixed,
                broke.size(),
                earlier.size(),
                later.size(),
                whole(broke),
                whole(earlier),
                whole(later),
                broke.stream().mapToInt(c -> c.refusals).sum(),
                broke.stream().mapToInt(c -> c.unanswered).sum(),
                broke.stream().mapToInt(c -> c.attempts).sum(),
                newCallers.size(),
                newWhole,
                meanAndMost(
                    broke.stream().map(c -> c.goneOnNanos).filter(nanos -> nanos > 0).toList()),
                meanAndMost(broke.stream().flatMap(c -> c.refusalNanos.stream()).toList()),
                resolved(),
                verdict);
    record.line("%s", line);
    System.out.println(line);
    return status;
  }

  private static long whole(List<Caller> list) {
    return list.stream().filter(Caller::isWhole).count();
  }

  /** Returns mean and maximum in milliseconds. */
  private static String meanAndMost(List<Long> nanos) {
    if (nanos.isEmpty()) {
      return "none";
    }
    var s = nanos.stream().mapToLong(Long::longValue).summaryStatistics();
    return "%.0f/%.0f".formatted(s.getAverage() / 1e6, s.getMax() / 1e6);
  }

  /** Returns how the nodes knew the builds of streams, from their logs: counts by kind. */
  private String resolved() throws IOException {
    Map<String, Integer> counts = new TreeMap<>();
    for (Kit.Node n : nodes) {
      for (String l : Files.readAllLines(n.log(), StandardCharsets.ISO_8859_1)) {
        Matcher m = RESOLVED.matcher(l);
        if (m.find()) {
          counts.merge(m.group(1) + "/" + m.group(2), 1, Integer::sum);
        }
      }
    }
    List<String> parts = new ArrayList<>();
    counts.forEach((kind, count) -> parts.add(kind + ":" + count));
    return parts.isEmpty() ? "none" : String.join(",", parts);
  }
}
