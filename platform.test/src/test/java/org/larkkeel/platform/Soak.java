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
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.larkkeel.http.Json;

/**
 * A randomized test of real node processes under external faults. It runs the store, the runners,
 * their proxies, the callers and the checks. It writes the processes to start and the signals to
 * send to standard output, one per line, and the script {@code soak-relay} executes them.
 *
 * <p>All random choices derive from one seed. Safe for use by several threads.
 */
public final class Soak {
  static final int CALLER_PORT = 8144;
  static final long DRAIN_MILLIS = 2_500;
  private static final int READY_PORT = 8140;
  private static final long STABLE_MILLIS = 3_000;
  private static final int CALLERS = 12;

  /** The callers that send at a steady rate beside spikes or long streams. */
  private static final int CALLERS_BESIDE_OTHERS = 2;

  private static final int PREFILLS = 1;
  private static final int DECODES = 3;
  private static final int APPS = 2;

  /** The prefix of the descriptions of disturbances of runners. */
  static final String RUNNER = "runner";

  /** The prefix of the descriptions of disturbances of the store. */
  private static final String STORE = "store";

  private static final String APP = "app";
  private static final String MODEL = "model";

  /** The prefix of the descriptions of engines that answer without end. */
  static final String ENGINES_FLOOD = RUNNER + "-engines-flood";

  private static final String PLANNED_STOP = "signal-TERM";
  static final String PAUSE = "pause";

  /** The time from the crash of a runner to its restart; its entry expires after the next one. */
  private static final long DOWN_MILLIS = 1_500;

  static final long EXPIRY_MILLIS = 2_500;

  /** With an even seed, one node coordinates the reservations of all, as in a large cluster. */
  private static final int COORDINATOR_FROM_NODES = 2;

  private static final int MAX_NODES = 60;

  /** The last octet of the address of proxies, after those of nodes. */
  private static final String PROXY_HOST = ".250";

  /** The time after which a configuration in the store must be in force on undisturbed nodes. */
  private static final long IN_FORCE_MILLIS = 2_000;

  /** With unresponsive store connections, only one in 4 of the other faults is injected. */
  private static final int DRAWS_PER_FAULT = 4;

  private static volatile Soak current;

  /** Events that the run counts; the result line prints the counts under these names. */
  enum Counted {
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
    BUILD_CHANGE,
    PATH_CUT,
    NODES_KILLED,
    ENDLESS_ANSWER,
    SPIKE,
    FREEZE,
    HERD_KILL,
    IN_FORCE_ASKED,
    CARRIER_KILL,
    RUNNER_KILL
  }

  /** A period in which a node, or with node -1 all nodes, were disturbed. */
  private record Disturbance(long from, long to, int node, String what) {}

  private final String net;
  private final Path folder;
  private final int nodes;
  private final long seed;
  private final SplittableRandom random;
  private final SoakLedger ledger = new SoakLedger();
  private final StoreStandin store = new StoreStandin();
  private final List<SoakProxy> storeProxies = new ArrayList<>();
  private final List<SoakRunner> runners = new ArrayList<>();
  private final List<Disturbance> disturbances = new ArrayList<>();
  private final TreeMap<Counted, Integer> eventCounts = new TreeMap<>();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);
  private final SoakFaults faults;
  private final SoakCrashes crashes;
  private final SoakPathCuts pathCuts;
  private final SoakFlood flood;
  private final SoakSpikes spikes;
  private final SoakHerdKills herdKills;
  private final SoakCarrierKills carrierKills;
  private long version = 1;
  private volatile boolean loaded = true;

  private Soak(String net, Path folder, int nodes, long seed) {
    this.net = net;
    this.folder = folder;
    this.nodes = nodes;
    this.seed = seed;
    this.random = new SplittableRandom(seed);
    SoakStrays strays = new SoakStrays(net + PROXY_HOST, ledger, store);
    this.faults = new SoakFaults(this, store, storeProxies, runners, strays, nodes, random);
    this.crashes = new SoakCrashes(this, ledger, new SplittableRandom(seed + 1));
    this.pathCuts = new SoakPathCuts(this, ledger, runners, nodes, new SplittableRandom(seed + 5));
    this.flood = new SoakFlood(this, ledger, nodes, new SplittableRandom(seed + 9));
    this.spikes = new SoakSpikes(this, ledger, runners, new SplittableRandom(seed + 10));
    this.herdKills =
        new SoakHerdKills(this, ledger, runners, nodes, new SplittableRandom(seed + 32));
    this.carrierKills = new SoakCarrierKills(this, runners, new SplittableRandom(seed + 33));
    current = this;
  }

  /**
   * Runs the test.
   *
   * @param args the first three octets of the network, a folder, the number of nodes, the duration
   *     in seconds, the seed
   */
  public static void main(String[] args) {
    boolean passed = false;
    try {
      Soak soak =
          new Soak(args[0], Path.of(args[1]), Integer.parseInt(args[2]), Long.parseLong(args[4]));
      passed = soak.run(Integer.parseInt(args[3]));
    } catch (Exception e) {
      e.printStackTrace();
    } finally {
      // Threads of the timer would keep the process alive.
      System.exit(passed ? 0 : 1);
    }
  }

  String host(int node) {
    return net + "." + (node + 1);
  }

  /**
   * Returns the address of the proxies, which no other run has: nodes of other runs would reach a
   * port that is used again.
   */
  static String proxyHost() {
    return current.net + PROXY_HOST;
  }

  boolean isLoaded() {
    return loaded;
  }

  int pickNode(SplittableRandom source) {
    return source.nextInt(nodes);
  }

  /** Returns a node that says it is ready; empty if none does. */
  OptionalInt findReadyNode(SplittableRandom source) {
    int first = pickNode(source);
    return IntStream.range(first, first + nodes)
        .map(i -> i % nodes)
        .filter(this::isReady)
        .findFirst();
  }

  /** Returns whether the engines are of several builds. */
  boolean mixesBuilds() {
    return SoakBuilds.areMixed(seed) || hasHerdKills();
  }

  /** Returns whether the engines of the current run are of several builds. */
  static boolean mixesEngineBuilds() {
    return current.mixesBuilds();
  }

  /** Returns whether a load balancer favours a node in this run. */
  boolean isFlooded() {
    return seed % SoakFlood.SEEDS == 0;
  }

  /** Returns whether requests come in spikes in this run. */
  boolean hasSpikes() {
    return seed % SoakSpikes.SEEDS == 0;
  }

  /** Returns whether many nodes are killed at once while builds change in this run. */
  boolean hasHerdKills() {
    return seed % SoakHerdKills.SEEDS == 0;
  }

  /** Returns the kills of many nodes at once. */
  SoakHerdKills herdKills() {
    return herdKills;
  }

  /** Returns the spikes of requests. */
  SoakSpikes spikes() {
    return spikes;
  }

  /** Returns whether nodes that carry calls of others are killed in the current run. */
  static boolean killsCarriers() {
    return SoakCarrierKills.come(current.seed);
  }

  /** Returns the kills of carriers and runners. */
  SoakCarrierKills carrierKills() {
    return carrierKills;
  }

  /** Returns the flood of one node. */
  SoakFlood flood() {
    return flood;
  }

  /** Holds all nodes to a part of a core from now on. */
  void throttle(int percent) {
    for (int i = 0; i < nodes; i++) {
      print("throttle %d %d", i, percent);
    }
  }

  /** Returns the latest version of the configuration. */
  synchronized long configurationVersion() {
    return version - 1;
  }

  /** Prints a line for the log of the run. */
  void note(String line) {
    print("%s", line);
  }

  /** Returns the cuts of paths to runners. */
  SoakPathCuts pathCuts() {
    return pathCuts;
  }

  /** Returns whether anything is disturbed, or was within the last 3 s. */
  static boolean isDisturbed() {
    return current.wasDisturbed(-1, System.nanoTime());
  }

  /**
   * Returns whether a node has had the time to learn the list of runners: neither it nor the store
   * was disturbed within the last 3 s. Disturbances of runners do not matter.
   */
  static boolean knowsRunners(int node) {
    return !current.hasDisturbance(node, System.nanoTime(), d -> !d.what().startsWith(RUNNER));
  }

  /** Returns whether a node was disturbed within the last 3 s, so that a limit does not bind it. */
  static boolean isNodeDisturbed(int node) {
    return current.hasDisturbance(node, System.nanoTime(), d -> d.node() == node);
  }

  /** Returns the requests that crash runners. */
  static SoakCrashes crashes() {
    return current.crashes;
  }

  /** Crashes a runner under a request, and starts it under a new name later. */
  static void crash(SoakRunner runner, String body) {
    current.crashed(runner, body);
  }

  private synchronized void crashed(SoakRunner runner, String body) {
    if (!runner.isServing()) {
      return;
    }
    crashes.crashed(body);
    count(Counted.CRASH);
    restartLater(runner, "body=" + body);
  }

  /** Crashes a runner that is serving, and starts it under a new name later. */
  synchronized void crashAndReplace(SoakRunner runner) {
    if (runner.isServing()) {
      restartLater(runner, "");
    }
  }

  private void restartLater(SoakRunner runner, String cause) {
    disturb(-1, RUNNER + "-crashes " + cause, 500);
    runner.paths.down();
    final String name = runner.id();
    runner.crash();
    after(DOWN_MILLIS, runner.paths::up);
    after(DOWN_MILLIS, runner::start);
    after(EXPIRY_MILLIS, () -> runner.expire(name));
  }

  /** Returns whether a node was stopped, started or paused since 3 s before a time. */
  static boolean wasRestarted(int node, long since) {
    return current.hasDisturbance(
        node, since, d -> d.what().startsWith("signal") || d.what().equals(PAUSE));
  }

  /** Returns whether neither a node nor its store was disturbed within the last 3 s. */
  boolean isConnected(int node) {
    return !hasDisturbance(node, System.nanoTime(), d -> !d.what().startsWith(RUNNER));
  }

  /** Returns whether the store of a node was disturbed since 3 s before a time. */
  boolean wasStoreDisturbed(int node, long since) {
    return hasDisturbance(node, since, d -> d.what().startsWith(STORE));
  }

  /** Returns whether a node, or a dependency of it, was disturbed since 3 s before a time. */
  boolean wasDisturbed(int node, long since) {
    return hasDisturbance(node, since, d -> true);
  }

  /**
   * Returns whether a request was disturbed. Engines that answer without end do not disturb
   * requests to other services.
   */
  boolean wasRequestDisturbed(int node, String kind, long since) {
    boolean isApp = serviceOf("/" + kind + "/").equals(APP);
    return hasDisturbance(node, since, d -> !isApp || !d.what().startsWith(ENGINES_FLOOD));
  }

  private synchronized boolean hasDisturbance(int node, long since, Predicate<Disturbance> counts) {
    long from = since - TimeUnit.MILLISECONDS.toNanos(STABLE_MILLIS);
    return disturbances.stream()
        .filter(counts)
        .anyMatch(d -> (node < 0 || d.node() < 0 || d.node() == node) && d.to() >= from);
  }

  /**
   * Checks a caller's connection that ended without a complete answer. A planned stop of the node
   * does not excuse this for a request that it has forwarded; only a request that was not yet read
   * may be lost.
   */
  void connectionLost(String caller, int node, String id, long startNanos, IOException cause) {
    if (!hasDisturbance(node, startNanos, d -> !d.what().equals(PLANNED_STOP))
        && ledger.hasRun(id)) {
      ledger.violation("lost", id + " of " + caller + " at node " + node + " " + cause);
    }
  }

  synchronized void disturb(int node, String what, long millis) {
    long now = System.nanoTime();
    disturbances.add(new Disturbance(now, now + TimeUnit.MILLISECONDS.toNanos(millis), node, what));
    print("fault node=%d %s for_ms=%d", node, what, millis);
  }

  /** Prints a line, which the script executes or puts into the log of the run. */
  static synchronized void print(String format, Object... args) {
    System.out.println(format.formatted(args));
    System.out.flush();
  }

  private boolean run(int seconds) throws Exception {
    prepare();
    if (!awaitReady(30)) {
      print("result=failed seed=%d cause=\"nodes did not become ready\"", seed);
      return false;
    }
    ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();
    int callerCount = hasSpikes() || hasHerdKills() ? CALLERS_BESIDE_OTHERS : CALLERS;
    for (int i = 0; i < callerCount; i++) {
      callers.submit(new SoakCaller(this, ledger, "c" + i, random.nextLong()));
    }
    boolean unresponsive = seed % SoakRecurringFaults.UNRESPONSIVE_SEEDS == 0;
    new SoakRecurringFaults(this, seed, store, storeProxies, runners).start();
    // Counts the drawn pauses, not the elapsed time, so that the number of draws does not depend on
    // the speed of the machine.
    long left = TimeUnit.SECONDS.toMillis(seconds);
    while (left > 0) {
      int pause = random.nextInt(100, 1_800);
      left -= pause;
      Thread.sleep(pause);
      // A restarted node receives the changes and reports them to its peers, which would hide the
      // unresponsive connections of the others, so few nodes may restart. Beside herd kills, faults
      // of runners leave few streams of which it is certain that they can go on.
      if (!(unresponsive || isFlooded() || hasHerdKills())
          || random.nextInt(DRAWS_PER_FAULT) == 0) {
        faults.inject();
      }
    }
    Thread.sleep(1_000);
    loaded = false;
    callers.shutdown();
    callers.awaitTermination(20, TimeUnit.SECONDS);
    return finish();
  }

  private void prepare() throws IOException {
    for (int i = 0; i < APPS; i++) {
      runners.add(new SoakRunner(ledger, store, APP, "", nodes, random.nextLong()));
    }
    int prefills = hasHerdKills() ? SoakHerdKills.PREFILLS : PREFILLS;
    int decodes =
        hasHerdKills() ? SoakHerdKills.DECODES : isFlooded() ? SoakFlood.DECODES : DECODES;
    for (int i = 0; i < prefills + decodes; i++) {
      String stage = i < prefills ? "prefill" : "decode";
      runners.add(new SoakRunner(ledger, store, MODEL, stage, nodes, random.nextLong()));
    }
    if (hasHerdKills()) {
      herdKills.startRunners();
    } else {
      runners.forEach(SoakRunner::start);
    }
    configure();
    for (int i = 0; i < nodes; i++) {
      int node = i;
      String[] address = store.addView(text -> addressesFor(node, text)).split(":");
      storeProxies.add(
          new SoakProxy(
              proxyHost(),
              new java.net.InetSocketAddress(address[0], Integer.parseInt(address[1]))));
      Files.writeString(folder.resolve("node-" + i + ".json"), settings(i));
      print("start %d", i);
    }
  }

  /** Returns a text of the store with the addresses at which a node reaches the runners. */
  private String addressesFor(int node, String text) {
    String changed = text;
    for (SoakRunner runner : runners) {
      changed =
          changed.replace(
              '"' + runner.paths.address() + '"', '"' + runner.paths.address(node) + '"');
    }
    return changed;
  }

  /** Writes a new version of the configuration, which adds a route. */
  synchronized void configure() {
    long added = version++;
    writeConfiguration(added);
    for (int again = 0; again < 3; again++) {
      after(IN_FORCE_MILLIS + 500L * again, () -> callAddedRoute(added));
    }
  }

  /** Writes the latest configuration and the entries of the runners again. */
  synchronized void rewriteAll() {
    writeConfiguration(version - 1);
    runners.forEach(SoakRunner::register);
  }

  private void writeConfiguration(long added) {
    ObjectNode config = Json.object();
    config.put("version", added);
    var routes = config.putArray("routes");
    for (long v = 1; v <= added; v++) {
      route(routes.addObject(), addedRoute(v), "safe", APP, false);
    }
    route(routes.addObject(), "safe", "safe", APP, false);
    route(routes.addObject(), "once", "unsafe", APP, false);
    route(routes.addObject(), "stream", "streaming", MODEL, false);
    route(routes.addObject(), "resume", "streaming", MODEL, true);
    var services = config.putArray("services");
    services.addObject().put("name", APP).put("max_connections", 100);
    ObjectNode engine =
        services.addObject().put("name", MODEL).put("max_connections", 100).putObject("engine");
    engine.put("kv_tokens", 90_000).put("stride", 10);
    store.put("config", "main", config);
  }

  private static String addedRoute(long version) {
    return "safe-" + version;
  }

  /** Calls the route that a version added at all undisturbed nodes. */
  private void callAddedRoute(long added) {
    for (int i = 0; i < nodes && loaded; i++) {
      if (knowsRunners(i)) {
        int node = i;
        count(Counted.IN_FORCE_ASKED);
        Thread.ofVirtual().start(() -> callAddedRoute(added, node));
      }
    }
  }

  private void callAddedRoute(long added, int node) {
    String name = "version-" + added + "-at-" + node + "-" + System.nanoTime();
    SoakCaller caller = new SoakCaller(this, ledger, name, added);
    try {
      caller.connect(node);
      caller.request(addedRoute(added));
    } catch (IOException e) {
      // The node is not running, so its configuration is unknown.
    } finally {
      caller.disconnect();
    }
  }

  /** Returns the service of the route of a path. */
  static String serviceOf(String path) {
    return path.startsWith("/stream/") || path.startsWith("/resume/") ? MODEL : APP;
  }

  private void route(ObjectNode r, String name, String kind, String service, boolean resume) {
    r.put("name", "r-" + name).put("host", "a.example").put("path_prefix", "/" + name + "/");
    r.put("kind", kind);
    r.put("timeout_ms", hasHerdKills() ? SoakCaller.LONG_DEADLINE_MILLIS : 4_000)
        .put("target_latency_ms", 900);
    r.put("service", service).put("max_attempts", resume ? 3 : 2);
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
    settings
        .putObject("repeats")
        .put("share", Double.toString(SoakRetryBudget.SHARE))
        .put("slack", Integer.toString(SoakRetryBudget.SLACK))
        .put("windowSeconds", Integer.toString(SoakRetryBudget.WINDOW_SECONDS))
        .put("nodes", nodes);
    settings.put("keeperFromNodes", seed % 2 == 0 ? COORDINATOR_FROM_NODES : MAX_NODES + 1);
    settings
        .putObject("store")
        .put("address", storeProxies.get(node).address())
        .put("timeoutMillis", 1_000)
        .put("watchMillis", 15_000);
    settings.putObject("stop").put("leaveMillis", 500).put("graceSeconds", "6");
    return settings.toString();
  }

  boolean isReady(int node) {
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

  void signal(int node, String name, long disturbedMillis) {
    if (disturbedMillis > 0) {
      disturb(node, "signal-" + name, disturbedMillis);
    }
    print("signal %d %s", node, name);
  }

  /** Kills all nodes, one after the other with a pause between them. */
  void killAll(long pauseMillis) {
    for (int i = 0; i < nodes; i++) {
      int node = i;
      after(i * pauseMillis, () -> signal(node, "KILL", 4_000));
    }
  }

  /** Kills some nodes from one on, all at the same time. */
  void killAtOnce(int first, int count) {
    StringBuilder line = new StringBuilder("kill");
    for (int i = first; i < first + count; i++) {
      disturb(i % nodes, "signal-KILL", 4_000);
      line.append(' ').append(i % nodes);
    }
    print("%s", line);
  }

  void disturbFor(int node, String what, long millis, IntConsumer change) {
    disturb(node, what, millis);
    change.accept(1);
    after(millis, () -> change.accept(0));
  }

  /** Makes a change after a time; one that fails is a finding, as its fault stays otherwise. */
  void after(long millis, Runnable change) {
    timer.schedule(
        () -> {
          try {
            change.run();
          } catch (RuntimeException e) {
            ledger.violation("driver", e.toString());
          }
        },
        millis,
        TimeUnit.MILLISECONDS);
  }

  synchronized void count(Counted kind) {
    eventCounts.merge(kind, 1, Integer::sum);
  }

  private boolean finish() throws Exception {
    Thread.sleep(2_500);
    storeProxies.forEach(p -> p.setMode(SoakProxy.Mode.PASS));
    pathCuts.healAll();
    runners.forEach(SoakRunner::endLastingFaults);
    runners.forEach(r -> r.paths.up());
    // Where the carriers of a node are killed, it can not serve as many calls as others.
    if (!killsCarriers()) {
      pathCuts.check();
    }
    if (isFlooded()) {
      flood.check();
    }
    if (!awaitReady(25)) {
      ledger.violation("recover", "not all nodes are ready after the faults");
    }
    // From here on, only nodes that still follow the list, despite its invalid entries, can serve.
    runners.forEach(SoakRunner::replace);
    Thread.sleep(STABLE_MILLIS);
    SoakCaller last = new SoakCaller(this, ledger, "last", seed);
    for (int i = 0; i < nodes; i++) {
      for (String kind : List.of("safe", "once", "stream", "resume")) {
        if (!serves(last, i, kind)) {
          ledger.violation("recover", "node " + i + " does not serve " + kind);
        }
      }
    }
    last.disconnect();
    Thread.sleep(1_500);
    if (ledger.running().get() != 0) {
      ledger.violation("gone", ledger.running() + " runs continue without a caller");
    }
    // Streams may be taken up for some seconds after the load.
    herdKills.check();
    double budgetUse = ledger.retryBudget().check(ledger);
    List<String> broken = ledger.violations();
    broken.forEach(b -> print("broken %s", b));
    print(
        "result=%s seed=%d faults=%d broken=%d retries=%.2f herd=[%s] drawn=%s outcomes=%s",
        broken.isEmpty() ? "passed" : "failed",
        seed,
        disturbances.size(),
        broken.size(),
        budgetUse,
        herdKills,
        eventCounts,
        new TreeMap<>(ledger.outcomes()));
    return broken.isEmpty();
  }

  private static boolean serves(SoakCaller caller, int node, String kind) throws IOException {
    for (int attempt = 0; attempt < 3; attempt++) {
      caller.connect(node);
      if (caller.request(kind)) {
        return true;
      }
    }
    return false;
  }
}
