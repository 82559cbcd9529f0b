/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Nodes that carry tunnels, or upstreams, end in the midst of answers. One of five nodes reaches no
 * upstream by itself, and callers send to it. Checks that no answer looks complete and is not, and,
 * if nothing ends, that all are whole.
 *
 * <p>Variables of the environment:
 *
 * <ul>
 *   <li>{@code CASE}: what ends, in lower case, see {@link Case};
 *   <li>{@code ROUNDS}: how often, 10 by default;
 *   <li>{@code BUILD}: the folder of a built tree that all nodes run, this one by default;
 *   <li>{@code OLDER}: the folder of the built tree that some nodes run in {@link Case#OLDER};
 *   <li>{@code OLDER_AS}: which nodes these are, {@code carrier} (all carriers, the default) or
 *       {@code caller} (the node of the callers);
 *   <li>{@code SEED}: fixes answers and pauses, not how threads and processes interleave;
 *   <li>{@code KEEP}: keeps the logs of the nodes and the record.
 * </ul>
 *
 * <p>Exits with 1 if a rule was broken, 0 if they held, 2 if the case could not run.
 */
final class CarriersKilled {
  private enum Case {
    /** Nothing ends. */
    CONTROL,
    /** The process of a carrier is killed. */
    KILL,
    /** A carrier stands still, and is killed a while later. */
    FREEZE,
    /** A carrier is stopped in order, one after the other. */
    STOP,
    /** All carriers are killed at once. */
    BOTH,
    /** The process of upstreams is killed; callers send to a carrier as well. */
    RUNNER,
    /** As kill; some nodes run another build. */
    OLDER;

    private boolean endsNothing() {
      return this == CONTROL;
    }
  }

  private enum Outcome {
    WHOLE,
    /** The connection ended, or was silent, before the end of the answer. */
    BROKEN,
    /** A status that says so. */
    FAILED,
    /** The answer has its end, and is not the whole one. */
    LOOKS_COMPLETE
  }

  private static final String ZONE = "ulemiste";
  private static final int CARRIERS = 4;
  private static final int CALLERS_NODE = CARRIERS;
  private static final int UPSTREAM_PROCESSES = 4;
  private static final int UPSTREAM_PORT = 8080;

  /** The port by which the callers' node knows upstreams; nothing listens there. */
  private static final int PORT_OF_NONE = 8081;

  private static final List<Integer> SMALL_SIZES = List.of(1, 100, 4_096, 65_536);
  private static final int ANSWERS_OF_A_CELL = 2;
  private static final int LEAST_MILLIS = 600;
  private static final int MOST_MILLIS = 900;
  private static final int SPREAD_MILLIS = 150;
  private static final int FROZEN_MILLIS = 3_000;
  private static final int DARK_MILLIS = 500;
  private static final int WARM_ROUNDS = 4;
  private static final int SETTLE_MILLIS = 1_000;
  private static final int DEADLINE_MILLIS = 8_000;
  private static final int CONNECT_MILLIS = 3_000;
  private static final int SILENCE_MILLIS = 10_000;
  private static final int STOP_MILLIS = 15_000;

  private final Case what;
  private final int rounds = Integer.parseInt(variable("ROUNDS", "10"));
  private final Path build = Path.of(variable("BUILD", ".")).toAbsolutePath().normalize();
  private final SplittableRandom random =
      new SplittableRandom(Integer.parseInt(variable("SEED", "1")));
  private final Path folder;
  private final Kit.Record record;
  private final String net = Kit.net();
  private final Kit.Store store;
  private final List<Process> upstreams = new ArrayList<>();
  private final List<NodeProcess> nodes = new ArrayList<>();
  private final List<Call> calls = new ArrayList<>();
  private int starts;

  private CarriersKilled(Case what, Path folder, Kit.Record record) throws IOException {
    this.what = what;
    this.folder = folder;
    this.record = record;
    store = new Kit.Store(net, CARRIERS + 1, 8142);
  }

  public static void main(String[] args) {
    int status = 2;
    try {
      Path folder = Files.createTempDirectory("drill");
      status = play(variable("CASE", "kill"), folder);
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
      CarriersKilled drill =
          new CarriersKilled(Case.valueOf(name.toUpperCase(Locale.ROOT)), folder, record);
      try {
        drill.run();
        return drill.judge(name);
      } finally {
        for (NodeProcess c : drill.nodes) {
          c.kill();
        }
        drill.upstreams.forEach(Process::destroyForcibly);
      }
    }
  }

  private static String variable(String name, String otherwise) {
    return System.getenv().getOrDefault(name, otherwise);
  }

  // The course of the case.

  private void run() throws Exception {
    store.put("config", "main", Calls.configuration(DEADLINE_MILLIS));
    store.view(
        CALLERS_NODE,
        text ->
            text.replaceAll("(\"127[.0-9]+:)" + UPSTREAM_PORT + "\"", "$1" + PORT_OF_NONE + "\""));
    for (int i = 0; i < UPSTREAM_PROCESSES; i++) {
      upstreams.add(startUpstreams(i));
    }
    String seeds = net + ".10:8146," + net + ".11:8146";
    for (int i = 0; i <= CARRIERS; i++) {
      Kit.Node node = new Kit.Node(folder, net, i, ZONE, seeds, store.address(i));
      nodes.add(new NodeProcess(node, folder, buildOf(i)));
    }
    for (NodeProcess c : nodes) {
      c.start();
    }
    Kit.awaitReady(nodes.stream().map(c -> c.node).toList());
    for (int i = 0; i < WARM_ROUNDS; i++) {
      Thread.sleep(SETTLE_MILLIS);
      warm();
    }
    nodes.forEach(NodeProcess::markProcessorTime);
    for (int i = 0; i < rounds; i++) {
      record.line("round %d", i + 1);
      round(i);
    }
  }

  private Path buildOf(int node) {
    if (what != Case.OLDER || !isOlder(node)) {
      return build;
    }
    String older = System.getenv("OLDER");
    if (older == null) {
      throw new IllegalArgumentException("OLDER names no folder");
    }
    return Path.of(older).toAbsolutePath().normalize();
  }

  private static boolean isOlder(int node) {
    return switch (variable("OLDER_AS", "carrier")) {
      case "carrier" -> node != CALLERS_NODE;
      case "caller" -> node == CALLERS_NODE;
      default -> throw new IllegalArgumentException("OLDER_AS is neither carrier nor caller");
    };
  }

  /** Opens a tunnel to each upstream, or tries to, with answers that are not counted. */
  private void warm() throws InterruptedException {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < 8 * UPSTREAM_PROCESSES; i++) {
      Answer.Kind kind = i % 2 == 0 ? Answer.Kind.SAFE : Answer.Kind.RESUME;
      Call c = new Call(new Answer(kind, Answer.Framing.CHUNKS, 100, 80, i), nodes.getLast(), true);
      threads.add(Thread.startVirtualThread(c::run));
    }
    for (Thread t : threads) {
      t.join();
    }
  }

  private void round(int number) throws Exception {
    List<Call> now = new ArrayList<>();
    for (int i = 0; i < ANSWERS_OF_A_CELL; i++) {
      for (Answer.Kind k : Answer.Kind.values()) {
        for (Answer.Framing f : Answer.Framing.values()) {
          int size = size(number, i, k.ordinal() * Answer.Framing.values().length + f.ordinal());
          int millis = random.nextInt(LEAST_MILLIS, MOST_MILLIS);
          boolean direct = what == Case.RUNNER && i % 2 == 1;
          now.add(
              new Call(
                  new Answer(k, f, size, millis, random.nextInt(1 << 30)),
                  nodes.get(direct ? 0 : CALLERS_NODE),
                  !direct));
        }
      }
    }
    calls.addAll(now);
    List<Thread> threads = new ArrayList<>();
    for (Call c : now) {
      int pause = random.nextInt(SPREAD_MILLIS);
      threads.add(
          Thread.startVirtualThread(
              () -> {
                sleep(pause);
                c.run();
              }));
    }
    Thread.sleep(random.nextInt(SPREAD_MILLIS + 100, LEAST_MILLIS - 50));
    disrupt(number);
    for (Thread t : threads) {
      t.join();
    }
    Kit.awaitReady(nodes.stream().map(c -> c.node).toList());
    Thread.sleep(SETTLE_MILLIS);
    warm();
  }

  /**
   * Returns a size. In six rounds each cell has one answer of 1 MB and one of 4 MB, and each round
   * has four of these: nodes bound the memory of plain answers.
   */
  private static int size(int round, int number, int cell) {
    int turn = (cell + round) % 6;
    if (number == 0 && turn == 0) {
      return 4 << 20;
    } else if (number == 0 && turn == 3) {
      return 1 << 20;
    }
    return SMALL_SIZES.get((number + cell + round) % SMALL_SIZES.size());
  }

  /** Ends what the case ends, and starts it again. */
  private void disrupt(int number) throws Exception {
    NodeProcess carrier = nodes.get(number % CARRIERS);
    switch (what) {
      case CONTROL -> {}
      case KILL, OLDER -> {
        carrier.kill();
        Thread.sleep(DARK_MILLIS);
        carrier.start();
      }
      case FREEZE -> {
        carrier.signal("STOP");
        Thread.sleep(FROZEN_MILLIS);
        carrier.kill();
        Thread.sleep(DARK_MILLIS);
        carrier.start();
      }
      case STOP -> {
        carrier.stop();
        carrier.start();
      }
      case BOTH -> {
        for (NodeProcess c : nodes.subList(0, CARRIERS)) {
          c.signal("KILL");
        }
        Thread.sleep(DARK_MILLIS);
        for (NodeProcess c : nodes.subList(0, CARRIERS)) {
          c.kill();
          c.start();
        }
      }
      case RUNNER -> {
        int process = number % UPSTREAM_PROCESSES;
        upstreams.get(process).destroyForcibly().waitFor();
        Thread.sleep(3 * DARK_MILLIS);
        upstreams.set(process, startUpstreams(process));
      }
      default -> throw new AssertionError(what);
    }
  }

  /** Starts a process with an upstream of each service, and lists these under new ids. */
  private Process startUpstreams(int process) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "Upstreams"));
    List<String> services = List.of(Answer.Kind.SAFE.service(), Answer.Kind.RESUME.service());
    starts++;
    for (int i = 0; i < services.size(); i++) {
      command.addAll(List.of(net + "." + (100 + 10 * i + process), "" + UPSTREAM_PORT));
      command.add(id(process, i, starts));
    }
    ProcessBuilder b = new ProcessBuilder(command);
    b.redirectError(folder.resolve("upstreams-" + process + "-" + starts + ".log").toFile());
    Process p = b.start();
    Runtime.getRuntime().addShutdownHook(new Thread(p::destroyForcibly));
    String born = p.inputReader().readLine();
    if (born == null) {
      throw new IOException("the upstreams of process " + process + " did not start");
    }
    for (int i = 0; i < services.size(); i++) {
      for (int earlier = 1; earlier < starts; earlier++) {
        store.remove("servers", id(process, i, earlier));
      }
      store.put(
          "servers",
          id(process, i, starts),
          ("{\"service\":\"%s\",\"address\":\"%s.%d:%d\",\"zone\":\"%s\",\"version\":\"v1\","
                  + "\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":0,"
                  + "\"born\":%s}")
              .formatted(services.get(i), net, 100 + 10 * i + process, UPSTREAM_PORT, ZONE, born));
    }
    return p;
  }

  private static String id(int process, int service, int start) {
    return "i-%02x%02x%04x".formatted(process, service, start);
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A node that runs a build of its own. Not thread-safe. */
  private static final class NodeProcess {
    private static final int TICKS_A_SECOND = 100;

    private final Kit.Node node;
    private final Path settings;
    private final Path build;
    private Process process;
    private double earlierSeconds;
    private double markedSeconds;

    NodeProcess(Kit.Node node, Path folder, Path build) {
      this.node = node;
      this.settings = folder.resolve(node.name + ".json").toAbsolutePath();
      this.build = build;
    }

    void start() throws IOException {
      String run =
          Files.readAllLines(build.resolve("deploy/system.toml")).stream()
              .filter(l -> l.startsWith("run = "))
              .map(l -> l.substring(l.indexOf('"') + 1, l.lastIndexOf('"')))
              .findFirst()
              .orElseThrow();
      List<String> command = new ArrayList<>(List.of(run.split(" ")));
      command.set(0, build.resolve(command.getFirst()).toString());
      ProcessBuilder b = new ProcessBuilder(command);
      b.directory(build.toFile());
      b.environment().put(Calls.SETTINGS, settings.toString());
      b.redirectErrorStream(true);
      b.redirectOutput(ProcessBuilder.Redirect.appendTo(node.log().toFile()));
      process = b.start();
      Process started = process;
      Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    void signal(String name) throws IOException, InterruptedException {
      keepProcessorTime();
      new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
    }

    /** Kills the process, if it was started; it may have ended before. */
    void kill() throws InterruptedException {
      if (process != null) {
        keepProcessorTime();
        process.destroyForcibly();
        process.waitFor();
      }
    }

    void stop() throws IOException, InterruptedException {
      signal("TERM");
      if (!process.waitFor(STOP_MILLIS, TimeUnit.MILLISECONDS)) {
        throw new IllegalStateException("a node did not stop");
      }
    }

    void markProcessorTime() {
      markedSeconds = processorSeconds();
    }

    /** Returns the processor time since the mark, over all processes of the node. */
    double processorSecondsSinceMark() {
      return processorSeconds() - markedSeconds;
    }

    private long keptPid = -1;

    private void keepProcessorTime() {
      if (keptPid != process.pid()) {
        earlierSeconds += currentSeconds();
        keptPid = process.pid();
      }
    }

    private double processorSeconds() {
      return earlierSeconds + (keptPid == process.pid() ? 0 : currentSeconds());
    }

    /** Returns the processor time of the process, 0 if it has ended. */
    private double currentSeconds() {
      try {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / (double) TICKS_A_SECOND;
      } catch (IOException e) {
        return 0;
      }
    }
  }

  // Callers.

  /** A call and how its answer ended. Run by one thread, read after it has ended. */
  private static final class Call {
    private final Answer answer;
    private final NodeProcess at;
    private final boolean tunnelled;
    private final String id = "%016x".formatted(new SplittableRandom().nextLong());
    private Outcome outcome = Outcome.BROKEN;
    private int status;
    private String cause = "";
    private long firstNanos = -1;
    private int bytes;
    private String framing = "";

    Call(Answer answer, NodeProcess at, boolean tunnelled) {
      this.answer = answer;
      this.at = at;
      this.tunnelled = tunnelled;
    }

    void run() {
      long begin = System.nanoTime();
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      try (Socket s = new Socket()) {
        s.connect(at.node.front(), CONNECT_MILLIS);
        s.setSoTimeout(SILENCE_MILLIS);
        Kit.write(
            s.getOutputStream(),
            Kit.request(
                "POST " + answer.path(),
                Calls.headers(id, DEADLINE_MILLIS),
                ""));
        InputStream in = new BufferedInputStream(s.getInputStream(), 65_536);
        Kit.Message head = Kit.readHead(in);
        status = head.status();
        read(head, in, body, begin);
        outcome = outcomeOf(body.toByteArray());
      } catch (IOException e) {
        cause = e.toString();
      }
      bytes = body.size();
    }

    private void read(Kit.Message head, InputStream in, ByteArrayOutputStream body, long begin)
        throws IOException {
      if (head.header("Transfer-Encoding") != null) {
        framing = "chunks";
        for (byte[] c = Kit.readChunk(in); c.length > 0; c = Kit.readChunk(in)) {
          first(begin);
          body.writeBytes(c);
        }
        return;
      }
      String length = head.header("Content-Length");
      framing = length == null ? "none" : "length";
      int left = length == null ? Integer.MAX_VALUE : Integer.parseInt(length);
      byte[] buffer = new byte[65_536];
      while (left > 0) {
        int n = in.read(buffer, 0, Math.min(left, buffer.length));
        if (n < 0 && length != null) {
          throw new EOFException();
        } else if (n < 0) {
          return;
        }
        first(begin);
        body.write(buffer, 0, n);
        left -= n;
      }
    }

    private void first(long begin) {
      if (firstNanos < 0) {
        firstNanos = System.nanoTime() - begin;
      }
    }

    private Outcome outcomeOf(byte[] body) {
      if (status != 200) {
        return Outcome.FAILED;
      }
      byte[] read = answer.kind().streams ? Answer.events(body) : body;
      return Arrays.equals(read, answer.whole()) ? Outcome.WHOLE : Outcome.LOOKS_COMPLETE;
    }

    boolean is(Answer.Framing framing, Answer.Kind kind) {
      return answer.framing() == framing && answer.kind() == kind;
    }

    @Override
    public String toString() {
      return "%s id=%s at=%s path=%s status=%d framing=%s bytes=%d tunnelled=%b %s"
          .formatted(
              outcome, id, at.node.name, answer.path(), status, framing, bytes, tunnelled, cause);
    }
  }

  // Judgement.

  private int judge(String name) throws IOException {
    calls.forEach(c -> record.line("%s", c));
    System.out.printf(
        "case=%s rounds=%d answers=%d build=%s%n", name, rounds, calls.size(), builds());
    System.out.println("| framing | kind | whole | broken off | failed | looks complete |");
    System.out.println("|---|---|---|---|---|---|");
    for (Answer.Framing f : Answer.Framing.values()) {
      for (Answer.Kind k : Answer.Kind.values()) {
        List<Call> cell = calls.stream().filter(c -> c.is(f, k)).toList();
        System.out.printf(
            "| %s | %s | %d | %d | %d | %d |%n",
            f.name().toLowerCase(Locale.ROOT),
            k.name().toLowerCase(Locale.ROOT),
            count(cell, Outcome.WHOLE),
            count(cell, Outcome.BROKEN),
            count(cell, Outcome.FAILED),
            count(cell, Outcome.LOOKS_COMPLETE));
      }
    }
    long[] firsts =
        calls.stream()
            .filter(c -> c.answer.kind().streams && c.status == 200 && c.firstNanos >= 0)
            .mapToLong(c -> c.firstNanos)
            .sorted()
            .toArray();
    System.out.printf(
        "first_event mean=%.1f ms p95=%.1f ms streams=%d%n",
        Arrays.stream(firsts).average().orElse(0) / 1e6,
        firsts.length == 0 ? 0 : firsts[firsts.length * 95 / 100] / 1e6,
        firsts.length);
    double carriers = 0;
    for (NodeProcess c : nodes.subList(0, CARRIERS)) {
      carriers += c.processorSecondsSinceMark();
    }
    System.out.printf(
        "processor_seconds callers_node=%.2f carriers=%.2f%n",
        nodes.get(CALLERS_NODE).processorSecondsSinceMark(), carriers);
    long attempts = attemptsByTunnel();
    List<Call> repeatable = calls.stream().filter(c -> c.answer.kind().mayRepeat()).toList();
    List<Call> wrong = calls.stream().filter(c -> c.outcome == Outcome.LOOKS_COMPLETE).toList();
    System.out.printf(
        "attempts_by_tunnel=%d repeatable_whole=%d of %d looks_complete by_tunnel=%d direct=%d%n",
        attempts,
        count(repeatable, Outcome.WHOLE),
        repeatable.size(),
        wrong.stream().filter(c -> c.tunnelled).count(),
        wrong.stream().filter(c -> !c.tunnelled).count());
    if (attempts == 0) {
      System.out.println("COULD NOT RUN: no answer came through a tunnel");
      return 2;
    }
    wrong.forEach(c -> System.out.println("  " + c));
    boolean broken =
        !wrong.isEmpty() || what.endsNothing() && count(calls, Outcome.WHOLE) < calls.size();
    System.out.println(broken ? "BROKEN" : "held");
    return broken ? 1 : 0;
  }

  private String builds() {
    return what == Case.OLDER
        ? build + ", " + variable("OLDER_AS", "carrier") + " of " + System.getenv("OLDER")
        : build.toString();
  }

  private static long count(List<Call> calls, Outcome outcome) {
    return calls.stream().filter(c -> c.outcome == outcome).count();
  }

  /** Returns the attempts that the callers' node has made through tunnels. */
  private long attemptsByTunnel() throws IOException {
    InetSocketAddress metrics =
        new InetSocketAddress(nodes.get(CALLERS_NODE).node.ip, Kit.Node.FIRST_PORT);
    try (Socket s = new Socket()) {
      s.connect(metrics, 1_000);
      s.setSoTimeout(SILENCE_MILLIS);
      Kit.write(
          s.getOutputStream(), "GET /metrics HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
      String text = new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      return text.lines()
          .filter(l -> l.startsWith("larkkeel_relay_attempts_total{"))
          .filter(l -> l.contains("path=\"tunnel\""))
          .mapToLong(l -> (long) Double.parseDouble(l.substring(l.lastIndexOf(' ') + 1)))
          .sum();
    }
  }
}
