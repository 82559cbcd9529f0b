/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import java.util.function.Predicate;
import org.larkkeel.http.Json;

/**
 * A randomized run of real node processes under faults from outside: the store, the runners, the
 * proxies before them, the callers and the checks. Which process is to be started or to get a
 * signal is written to standard output, a line each; the script {@code soak-relay} does it.
 *
 * <p>Everything that is drawn comes from one seed. Safe for use by several threads.
 */
public final class Soak {
  static final int CALLER_PORT = 8144;
  static final long DRAIN_MILLIS = 2_500;
  private static final int READY_PORT = 8140;
  private static final long STABLE_MILLIS = 3_000;
  private static final int CALLERS = 12;
  private static final int PREFILLS = 1;
  private static final int DECODES = 3;
  private static final int APPS = 2;
  private static final int MAX_ENTRY_LATE_MILLIS = 1_000;
  private static final long BAD_MILLIS = 1_500;

  /** What harms of runners begin with. */
  private static final String RUNNER = "runner";

  private static final String PLANNED = "signal-TERM";
  private static final String PAUSE = "pause";

  /** How long a runner that has ended is away, and how long its entry stays. */
  private static final long DOWN_MILLIS = 1_500;

  private static final long EXPIRY_MILLIS = 2_500;

  /** With an even seed one node gives room to the calls of all, as in a large fleet. */
  private static final int KEEPER_FROM = 2;

  private static final int MAX_NODES = 60;

  /**
   * Within this time after a configuration is in the store, it is in force on undisturbed nodes.
   */
  private static final long IN_FORCE_MILLIS = 2_000;

  /** One of so many faults beside silent connections. */
  private static final int FEWER_FAULTS = 4;

  private static volatile Soak current;

  /** Faults of upstreams and their entries, counted in the last line. */
  enum Drawn {
    RESTART,
    RESTART_CLOCK_BACK,
    RESTART_BEFORE_ENTRY,
    BAD_ENTRY,
    TURNS_BAD,
    NOT_UP,
    SILENCE,
    CRASH,
    REST,
    LIMIT,
    RESTORE,
    IN_FORCE_ASKED
  }

  /** A time in which something was harmed; node -1 concerns all. */
  private record Harm(long from, long to, int node, String what) {}

  private final String net;
  private final Path folder;
  private final int nodes;
  private final long seed;
  private final SplittableRandom random;
  private final SoakLedger ledger = new SoakLedger();
  private final StoreStandin store = new StoreStandin();
  private final List<SoakProxy> storeProxies = new ArrayList<>();
  private final List<SoakRunner> runners = new ArrayList<>();
  private final SoakStrays strays = new SoakStrays(ledger, store);
  private final List<Harm> harms = new ArrayList<>();
  private final TreeMap<Drawn, Integer> drawn = new TreeMap<>();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);
  private final SoakCrashes crashes;
  private long version = 1;
  private volatile boolean loaded = true;

  private Soak(String net, Path folder, int nodes, long seed) {
    this.net = net;
    this.folder = folder;
    this.nodes = nodes;
    this.seed = seed;
    this.random = new SplittableRandom(seed);
    this.crashes = new SoakCrashes(this, ledger, new SplittableRandom(seed + 1));
    current = this;
  }

  /** Arguments: the network's first three numbers, a folder, nodes, seconds, seed. */
  public static void main(String[] args) throws Exception {
    Soak soak =
        new Soak(args[0], Path.of(args[1]), Integer.parseInt(args[2]), Long.parseLong(args[4]));
    System.exit(soak.play(Integer.parseInt(args[3])) ? 0 : 1);
  }

  String host(int node) {
    return net + "." + (node + 1);
  }

  boolean isLoaded() {
    return loaded;
  }

  int pickNode(SplittableRandom by) {
    return by.nextInt(nodes);
  }

  /** Whether the store or all nodes are harmed now, or were a moment ago. */
  static boolean isDisturbed() {
    return current.wasHarmed(-1, System.nanoTime());
  }

  /**
   * Whether a node has had the time to learn the list of runners: neither it nor its store was
   * harmed a moment ago. What is done to runners does not matter.
   */
  static boolean knowsList(int node) {
    return !current.isHarmed(node, System.nanoTime(), h -> !h.what().startsWith(RUNNER));
  }

  /** Whether a node was harmed a moment ago, so that a limit does not bind it. */
  static boolean isHarmedNode(int node) {
    return current.isHarmed(node, System.nanoTime(), h -> h.node() == node);
  }

  /** The requests that end runners. */
  static SoakCrashes crashes() {
    return current.crashes;
  }

  /** A runner ends under a request, and starts again under another name after a while. */
  static void crash(SoakRunner runner, String body) {
    current.crashed(runner, body);
  }

  private synchronized void crashed(SoakRunner runner, String body) {
    if (!runner.isServing()) {
      return;
    }
    crashes.ended(body);
    drawn(Drawn.CRASH);
    harm(-1, RUNNER + "-crashes body=" + body, 500);
    runner.proxy.down();
    final String name = runner.id();
    runner.crash();
    after(DOWN_MILLIS, runner.proxy::up);
    after(DOWN_MILLIS, runner::start);
    after(EXPIRY_MILLIS, () -> runner.expire(name));
  }

  /** Whether a node was stopped, started or paused since a moment, or shortly before it. */
  static boolean wasRestarted(int node, long since) {
    return current.isHarmed(
        node, since, h -> h.what().startsWith("signal") || h.what().equals(PAUSE));
  }

  /** Whether neither a node nor its links and store were harmed a moment ago. */
  boolean isInTouch(int node) {
    return !isHarmed(node, System.nanoTime(), h -> !h.what().startsWith(RUNNER));
  }

  /** Whether a node, or what it needs, was harmed since a moment, or shortly before it. */
  boolean wasHarmed(int node, long since) {
    return isHarmed(node, since, h -> true);
  }

  private synchronized boolean isHarmed(int node, long since, Predicate<Harm> counts) {
    long from = since - TimeUnit.MILLISECONDS.toNanos(STABLE_MILLIS);
    return harms.stream()
        .filter(counts)
        .anyMatch(h -> (node < 0 || h.node() < 0 || h.node() == node) && h.to() >= from);
  }

  /**
   * A caller's connection ended without a whole answer. A planned stop is no excuse for a request
   * that was passed on; a connection that is closed before its request was read is.
   */
  void cut(String caller, int node, String id, long begun, IOException cause) {
    if (!isHarmed(node, begun, h -> !h.what().equals(PLANNED)) && ledger.hasRun(id)) {
      ledger.broken("lost", id + " of " + caller + " at node " + node + " " + cause);
    }
  }

  synchronized void harm(int node, String what, long millis) {
    long now = System.nanoTime();
    harms.add(new Harm(now, now + TimeUnit.MILLISECONDS.toNanos(millis), node, what));
    tell("fault node=%d %s for_ms=%d", node, what, millis);
  }

  private static synchronized void tell(String format, Object... args) {
    System.out.println(format.formatted(args));
    System.out.flush();
  }

  private boolean play(int seconds) throws Exception {
    prepare();
    if (!awaitReady(30)) {
      tell("result=failed seed=%d cause=\"nodes did not become ready\"", seed);
      return false;
    }
    ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();
    for (int i = 0; i < CALLERS; i++) {
      callers.submit(new SoakCaller(this, ledger, "c" + i, random.nextLong()));
    }
    boolean silent = seed % SoakSeries.SILENT_SEEDS == 0;
    new SoakSeries(this, seed, store, storeProxies, runners).begin();
    // The pauses are added up as drawn, so that the number of draws does not depend on the machine.
    long left = TimeUnit.SECONDS.toMillis(seconds);
    while (left > 0) {
      int pause = random.nextInt(100, 1_800);
      left -= pause;
      Thread.sleep(pause);
      // A node that starts again hears of changes and tells the others, so that few may start.
      if (!silent || random.nextInt(FEWER_FAULTS) == 0) {
        strike();
      }
    }
    Thread.sleep(1_000);
    loaded = false;
    callers.shutdown();
    callers.awaitTermination(20, TimeUnit.SECONDS);
    return judge();
  }

  private void prepare() throws IOException {
    for (int i = 0; i < APPS; i++) {
      runners.add(new SoakRunner(ledger, store, "app", "", random.nextLong()));
    }
    for (int i = 0; i < PREFILLS + DECODES; i++) {
      String stage = i < PREFILLS ? "prefill" : "decode";
      runners.add(new SoakRunner(ledger, store, "model", stage, random.nextLong()));
    }
    configure();
    for (int i = 0; i < nodes; i++) {
      String[] address = store.address().split(":");
      storeProxies.add(
          new SoakProxy(new java.net.InetSocketAddress(address[0], Integer.parseInt(address[1]))));
      Files.writeString(folder.resolve("node-" + i + ".json"), settings(i));
      tell("start %d", i);
    }
  }

  /** A new version, which adds a route. */
  synchronized void configure() {
    long added = version++;
    writeConfiguration(added);
    for (int again = 0; again < 3; again++) {
      after(IN_FORCE_MILLIS + 500L * again, () -> askForAdded(added));
    }
  }

  /** What the operator and the runners wrote last is written again. */
  synchronized void writeAgain() {
    writeConfiguration(version - 1);
    runners.forEach(SoakRunner::register);
  }

  private void writeConfiguration(long added) {
    ObjectNode config = Json.object();
    config.put("version", added);
    var routes = config.putArray("routes");
    for (long v = 1; v <= added; v++) {
      route(routes.addObject(), added(v), "safe", "app", false);
    }
    route(routes.addObject(), "safe", "safe", "app", false);
    route(routes.addObject(), "once", "unsafe", "app", false);
    route(routes.addObject(), "stream", "streaming", "model", false);
    route(routes.addObject(), "resume", "streaming", "model", true);
    var services = config.putArray("services");
    services.addObject().put("name", "app").put("max_connections", 100);
    ObjectNode engine =
        services.addObject().put("name", "model").put("max_connections", 100).putObject("engine");
    engine.put("kv_tokens", 90_000).put("stride", 10);
    store.put("config", "main", config);
  }

  private static String added(long version) {
    return "safe-" + version;
  }

  /** Asks the nodes that nothing disturbs for the route that a version added. */
  private void askForAdded(long added) {
    for (int i = 0; i < nodes && loaded; i++) {
      if (knowsList(i)) {
        int node = i;
        drawn(Drawn.IN_FORCE_ASKED);
        Thread.ofVirtual().start(() -> askForAdded(added, node));
      }
    }
  }

  private void askForAdded(long added, int node) {
    String name = "version-" + added + "-at-" + node + "-" + System.nanoTime();
    SoakCaller caller = new SoakCaller(this, ledger, name, added);
    try {
      caller.goTo(node);
      caller.request(added(added));
    } catch (IOException e) {
      // It is not there, which says nothing of what is in force.
    } finally {
      caller.hangUp();
    }
  }

  private void route(ObjectNode r, String name, String kind, String service, boolean resume) {
    r.put("name", "r-" + name).put("host", "a.example").put("path_prefix", "/" + name + "/");
    r.put("kind", kind).put("timeout_ms", 4_000).put("target_latency_ms", 900);
    r.put("service", service).put("max_attempts", 2);
    r.put("allow_resume", resume).put("gap_aim_ms", 300).put("priority", 1);
  }

  private String settings(int node) {
    String at = host(node);
    ObjectNode settings = Json.object().put("host", "node-" + node).put("dataCentre", "dc-1");
    settings
        .putObject("listeners")
        .put("caller", at + ":" + CALLER_PORT)
        .put("readiness", at + ":" + READY_PORT)
        .put("metrics", at + ":8160")
        .put("peer", at + ":8161");
    settings.put("seeds", host(0) + ":8146").put("prefillShare", "0");
    settings.put("keeperFromNodes", seed % 2 == 0 ? KEEPER_FROM : MAX_NODES + 1);
    settings
        .putObject("store")
        .put("address", storeProxies.get(node).address())
        .put("timeoutMillis", 1_000)
        .put("watchMillis", 15_000);
    settings.putObject("stop").put("leaveMillis", 500).put("graceSeconds", "6");
    return settings.toString();
  }

  private boolean isReady(int node) {
    try (java.net.Socket s = new java.net.Socket()) {
      s.connect(new java.net.InetSocketAddress(host(node), READY_PORT), 500);
      s.setSoTimeout(1_000);
      RawServer.write(
          s.getOutputStream(), "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      return new String(
              s.getInputStream().readNBytes(12), java.nio.charset.StandardCharsets.US_ASCII)
          .endsWith(" 200");
    } catch (IOException e) {
      return false;
    }
  }

  private boolean awaitReady(int seconds) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    for (int i = 0; i < nodes; i++) {
      while (!isReady(i)) {
        if (System.nanoTime() > end) {
          return false;
        }
        Thread.sleep(50);
      }
    }
    return true;
  }

  // Faults: drawn one after the other; they overlap, and may hit the same target twice.

  private void strike() {
    int node = random.nextInt(nodes);
    long millis = random.nextLong(200, 2_500);
    SoakRunner runner = runners.get(random.nextInt(runners.size()));
    switch (random.nextInt(23)) {
      case 0, 1 -> signal(node, "KILL", 4_000);
      case 2, 3 -> signal(node, "TERM", 8_000);
      case 4, 5 -> pause(node, millis);
      case 6 -> signal(node, "HUP", 0);
      case 7 -> lasting(-1, "store-503", millis, on -> store.refuse(on > 0 ? 503 : 0));
      case 8 -> lasting(-1, "store-429", millis, on -> store.refuse(on > 0 ? 429 : 0));
      case 9 -> lasting(-1, "store-loses", millis, on -> store.lose(on > 0));
      case 10 -> proxied(node, "store", storeProxies.get(node), millis);
      case 11, 12 -> proxied(-1, RUNNER, runner.proxy, millis);
      case 13 -> {
        SoakRunner.Fault f = SoakRunner.Fault.values()[random.nextInt(1, 7)];
        lasting(
            -1, RUNNER + "-" + f, millis, on -> runner.fault(on > 0 ? f : SoakRunner.Fault.NONE));
      }
      case 14 -> replace(runner);
      case 15 -> {
        configure();
        tell("fault config version=%d", version - 1);
      }
      case 16, 17, 18 -> restart(runner);
      case 19, 20 -> addStray(millis);
      default -> turnBad(runner, millis);
    }
  }

  private void signal(int node, String name, long harmMillis) {
    if (harmMillis > 0) {
      harm(node, "signal-" + name, harmMillis);
    }
    tell("signal %d %s", node, name);
  }

  private void pause(int node, long millis) {
    harm(node, PAUSE, millis);
    tell("signal %d STOP", node);
    timer.schedule(() -> tell("signal %d CONT", node), millis, TimeUnit.MILLISECONDS);
  }

  void lasting(int node, String what, long millis, IntConsumer change) {
    harm(node, what, millis);
    change.accept(1);
    timer.schedule(() -> change.accept(0), millis, TimeUnit.MILLISECONDS);
  }

  private void proxied(int node, String what, SoakProxy proxy, long millis) {
    SoakProxy.Mode mode = SoakProxy.Mode.values()[random.nextInt(1, 5)];
    lasting(node, what + "-" + mode, millis, on -> proxy.mode(on > 0 ? mode : SoakProxy.Mode.PASS));
  }

  /** A runner leaves after its notice, or without one, and another takes its address. */
  private void replace(SoakRunner runner) {
    boolean notice = random.nextBoolean();
    if (!runner.isServing()) {
      drawn(Drawn.NOT_UP);
    } else if (notice) {
      runner.drain();
      tell("fault runner drains");
      timer.schedule(
          () -> {
            harm(-1, RUNNER + "-ends", 200);
            runner.replace();
          },
          DRAIN_MILLIS + 1_500,
          TimeUnit.MILLISECONDS);
    } else {
      harm(-1, RUNNER + "-crashes", 1_000);
      runner.proxy.mode(SoakProxy.Mode.RESET);
      runner.end();
      timer.schedule(
          () -> {
            runner.proxy.mode(SoakProxy.Mode.PASS);
            runner.start();
          },
          800,
          TimeUnit.MILLISECONDS);
    }
  }

  /**
   * A runner starts again under its name; sometimes the clock went back, so that its start seems
   * earlier than the one before. It answers before its entry has changed, or after it.
   */
  private void restart(SoakRunner runner) {
    long back = random.nextBoolean() ? 0 : random.nextLong(1, 3_600_000);
    int down = random.nextBoolean() ? 0 : random.nextInt(1, 800);
    int late = random.nextBoolean() ? 0 : random.nextInt(1, MAX_ENTRY_LATE_MILLIS);
    drawn(Drawn.RESTART);
    if (back > 0) {
      drawn(Drawn.RESTART_CLOCK_BACK);
    }
    if (down < late) {
      drawn(Drawn.RESTART_BEFORE_ENTRY);
    }
    if (!runner.isServing()) {
      drawn(Drawn.NOT_UP);
      return;
    }
    harm(-1, RUNNER + "-restarts back_ms=" + back + " entry_late_ms=" + late, down + 200);
    if (down > 0) {
      runner.proxy.mode(SoakProxy.Mode.RESET);
      after(down, () -> runner.proxy.mode(SoakProxy.Mode.PASS));
    }
    runner.restart(back);
    after(late, runner::register);
  }

  /** An entry that names no runner is in the list, for a while or until the end. */
  private void addStray(long millis) {
    BadEntry shape = BadEntry.draw(random);
    boolean stays = random.nextBoolean();
    String name = strays.add(shape, random);
    drawn(Drawn.BAD_ENTRY);
    tell("fault bad-entry name=%s %s for_ms=%s", name, shape, stays ? "ever" : millis);
    if (!stays) {
      after(millis, () -> strays.remove(name));
    }
  }

  /** The entry of a runner that goes on turns bad, and good again. */
  private void turnBad(SoakRunner runner, long millis) {
    BadEntry shape = BadEntry.draw(random);
    drawn(Drawn.TURNS_BAD);
    if (!runner.isServing()) {
      drawn(Drawn.NOT_UP);
      return;
    }
    tell("fault turns-bad name=%s %s for_ms=%d", runner.id(), shape, BAD_MILLIS + millis);
    runner.spoil(Optional.of(shape));
    after(BAD_MILLIS + millis, () -> runner.spoil(Optional.empty()));
  }

  void after(long millis, Runnable change) {
    timer.schedule(change, millis, TimeUnit.MILLISECONDS);
  }

  synchronized void drawn(Drawn kind) {
    drawn.merge(kind, 1, Integer::sum);
  }

  private boolean judge() throws Exception {
    Thread.sleep(2_500);
    storeProxies.forEach(p -> p.mode(SoakProxy.Mode.PASS));
    if (!awaitReady(25)) {
      ledger.broken("recover", "not all nodes are ready after the faults");
    }
    // Only a node that goes on learning the list, whatever lies in it, can serve from now on.
    runners.forEach(SoakRunner::replace);
    Thread.sleep(STABLE_MILLIS);
    SoakCaller last = new SoakCaller(this, ledger, "last", seed);
    for (int i = 0; i < nodes; i++) {
      for (String kind : List.of("safe", "once", "stream", "resume")) {
        if (!serves(last, i, kind)) {
          ledger.broken("recover", "node " + i + " does not serve " + kind);
        }
      }
    }
    last.hangUp();
    Thread.sleep(1_500);
    if (ledger.running().get() != 0) {
      ledger.broken("gone", ledger.running() + " runs are left without a caller");
    }
    List<String> broken = ledger.verdict();
    broken.forEach(b -> tell("broken %s", b));
    tell(
        "result=%s seed=%d faults=%d broken=%d drawn=%s outcomes=%s",
        broken.isEmpty() ? "passed" : "failed",
        seed,
        harms.size(),
        broken.size(),
        drawn,
        new TreeMap<>(ledger.outcomes()));
    return broken.isEmpty();
  }

  private static boolean serves(SoakCaller caller, int node, String kind) throws IOException {
    for (int attempt = 0; attempt < 3; attempt++) {
      caller.goTo(node);
      if (caller.request(kind)) {
        return true;
      }
    }
    return false;
  }
}
