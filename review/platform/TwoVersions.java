/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A machine is cut off from the store and the other machines while runners of a second software
 * version begin to serve. Another machine is killed, and its clients take their streams up again at
 * the other machines of their zone. Checks ORDER: at most two streams hold events of two versions.
 *
 * <p>Argument: the folder of the case. The variable {@code TROUBLE} is 0 for no disruption, or
 * {@code kill} for the killed machine without the cut.
 */
final class TwoVersions {
  /** The zones of the nodes; the first zone has the node that is killed and the one cut off. */
  private static final List<String> ZONE_OF_NODE =
      List.of("ulemiste", "ulemiste", "ulemiste", "lasnamae", "lasnamae", "maardu", "maardu");

  private static final int NODES = ZONE_OF_NODE.size();
  private static final int KILLED = 0;
  private static final int CUT = 2;
  private static final int PEER_PORT = Kit.Node.FIRST_PORT + 15;
  private static final List<String> ZONES = List.of("ulemiste", "lasnamae", "maardu");
  private static final int STREAMS = 36;

  /** Without this variable, a machine is cut off and another one killed. */
  private final String setting = String.valueOf(System.getenv("TROUBLE"));

  private final boolean cuts = !setting.equals("0") && !setting.equals("kill");
  private final boolean kills = !setting.equals("0");
  private final Kit.Record record;
  private final SplittableRandom random = new SplittableRandom(System.nanoTime());
  private final List<Kit.Node> nodes = new ArrayList<>();
  private final List<ModelRunner> runners = new ArrayList<>();
  private final AtomicInteger mixed = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger resumed = new AtomicInteger();
  private final AtomicInteger resumedAndServed = new AtomicInteger();

  private TwoVersions(Kit.Record record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args[0]);
    Path temporary = Files.createTempDirectory("review");
    int status = 2;
    try (Kit.Record record = new Kit.Record(folder.resolve("record.txt"))) {
      TwoVersions test = new TwoVersions(record);
      try {
        record.line("cuts=%b kills=%b", test.cuts, test.kills);
        status = test.run(temporary);
      } catch (Exception e) {
        record.line("could not run: %s", e);
        e.printStackTrace();
      } finally {
        for (Kit.Node n : test.nodes) {
          n.end();
        }
        if (System.getenv("KEEP") == null) {
          Kit.delete(temporary);
        } else {
          System.out.println("logs in " + temporary);
        }
      }
    }
    System.exit(status);
  }

  private int run(Path temporary) throws Exception {
    String net = Kit.net();
    Kit.Store store = new Kit.Store(net, NODES, 8142);
    store.put("config", "main", configuration());
    for (int i = 0; i < 9; i++) {
      addRunner(store, net, i, i < 3 ? "prefill" : "decode", "v1");
    }
    String ip = net + ".%d";
    Map<InetAddress, InetAddress> seen = new LinkedHashMap<>();
    String cutSeen = ip.formatted(50);
    String cutIp = ip.formatted(10 + CUT);
    for (int i = 0; i < NODES; i++) {
      if (i != CUT) {
        seen.put(
            InetAddress.getByName(ip.formatted(10 + i)), InetAddress.getByName(ip.formatted(60 + i)));
        store.view(i, text -> text.replace("\"" + cutIp + ":", "\"" + cutSeen + ":"));
      }
    }
    store.view(
        CUT,
        text -> {
          String changed = text;
          for (var e : seen.entrySet()) {
            changed =
                changed.replace(
                    "\"" + e.getKey().getHostAddress() + ":" + PEER_PORT,
                    "\"" + e.getValue().getHostAddress() + ":" + PEER_PORT);
          }
          return changed;
        });
    final PeerLinks links =
        new PeerLinks(
            InetAddress.getByName(cutIp), InetAddress.getByName(cutSeen), seen, PEER_PORT);
    for (int i = 0; i < NODES; i++) {
      int first = i == CUT ? 60 : 10;
      String seeds = net + "." + first + ":8146," + net + "." + (first + 1) + ":8146";
      nodes.add(
          new Kit.Node(temporary, net, i, ZONE_OF_NODE.get(i), seeds, store.address(i)));
    }
    for (Kit.Node n : nodes) {
      n.start();
    }
    Kit.awaitReady(nodes);
    Thread.sleep(5_000);
    record.line("traffic begins");
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < 14; i++) {
      int n = i;
      clients.add(Thread.startVirtualThread(() -> client("warm-" + n, n % NODES)));
      Thread.sleep(100);
    }
    Thread.sleep(2_000);
    if (cuts) {
      record.line("%s is cut off from the store and the other machines", nodes.get(CUT).name);
      store.partition(CUT, true);
      links.cut(true);
    }
    Thread.sleep(700);
    record.line("runners of version v2 begin to serve beside the others");
    for (int i = 9; i < 13; i++) {
      addRunner(store, net, i, "decode", "v2");
    }
    Thread.sleep(600);
    for (int i = 0; i < STREAMS; i++) {
      int n = i;
      clients.add(Thread.startVirtualThread(() -> client("main-" + n, KILLED)));
      Thread.sleep(40);
    }
    Thread.sleep(500);
    if (kills) {
      record.line("the process of %s is killed", nodes.get(KILLED).name);
      nodes.get(KILLED).end();
      Thread.sleep(300);
      nodes.get(KILLED).start();
    }
    Thread.sleep(1_200);
    record.line("%s says it is ready: %b", nodes.get(CUT).name, nodes.get(CUT).isReady());
    Thread.sleep(600);
    store.partition(CUT, false);
    links.cut(false);
    if (cuts) {
      record.line("the cut has ended");
    }
    for (Thread c : clients) {
      c.join(20_000);
    }
    return judge();
  }

  private void addRunner(Kit.Store store, String net, int i, String stage, String version)
      throws Exception {
    ModelRunner r =
        new ModelRunner(
            store,
            new InetSocketAddress(net + "." + (100 + i), 8080),
            "clause-readers",
            ZONES.get(i % ZONES.size()),
            stage,
            version,
            new Observer(),
            random.nextLong());
    r.eventMillis = 50;
    runners.add(r);
  }

  /** A client: it takes its stream up again, twice at most, at another machine of its zone. */
  private void client(String name, int firstNode) {
    int node = firstNode;
    int last = 0;
    String stream = "";
    Set<String> writers = new TreeSet<>();
    String own = "%08x".formatted(random.nextInt());
    for (int attempt = 0; attempt < 3; attempt++) {
      String id = name + "-" + attempt;
      String resume =
          last == 0 ? "" : "Last-Event-Id: %d\r\nResumes: %s\r\n".formatted(last, stream);
      Kit.Streamed s =
          Kit.stream(
              nodes.get(node).front(),
              "POST /lohu930/2f",
              ("X-Request-Id: %s\r\nX-Model: m\r\nX-Token-Usage: 5200,70\r\n"
                      + "X-Prefix-Hash: 5c1e07a2:200,%s:5000\r\nX-Deadline-Ms: 14000\r\n%s")
                  .formatted(id, own, resume),
              "prompt " + name,
              3_600);
      record.line(
          "answer id=%s node=%s %s %s",
          id, nodes.get(node).name, resume.strip().replace("\r\n", " "), s);
      if (attempt > 0 && last > 0) {
        resumed.incrementAndGet();
        resumedAndServed.addAndGet(s.complete() ? 1 : 0);
      }
      if (last == 0 && s.events() > 0) {
        stream = id;
      }
      last += s.events();
      writers.addAll(s.writers());
      if (s.complete()) {
        served.incrementAndGet();
        break;
      }
      node = otherOfZone(node);
    }
    if (writers.size() > 1) {
      record.line("MIXED stream=%s holds events of %s", stream, writers);
      mixed.incrementAndGet();
    }
  }

  /** Returns another machine of the zone that is ready, as the platform chooses it. */
  private int otherOfZone(int node) {
    List<Integer> others = new ArrayList<>();
    for (int i = 0; i < NODES; i++) {
      if (i != node && i != KILLED && ZONE_OF_NODE.get(i).equals(ZONE_OF_NODE.get(node))) {
        others.add(i);
      }
    }
    synchronized (random) {
      return others.get(random.nextInt(others.size()));
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
      record.line("ordered runner=%s body=%s", runner.id(), body);
    }
  }

  private int judge() {
    record.line(
        "streams_of_two_versions=%d served=%d resumed=%d of_these_served=%d",
        mixed.get(), served.get(), resumed.get(), resumedAndServed.get());
    if (served.get() == 0) {
      return 2;
    }
    boolean broken = mixed.get() > 2;
    record.line(broken ? "BROKEN: more than two streams hold events of two versions" : "held");
    return broken ? 1 : 0;
  }

  static String configuration() {
    return """
    {"version":7,"routes":[{"name":"r-x73d3zj","host":"ficu95.example","path_prefix":"/lohu930/",
    "kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,
    "service":"clause-readers","max_attempts":2,"sticky_sessions":true,"allow_resume":true,
    "gap_aim_ms":300}],
    "services":[{"name":"clause-readers","health_path":"/health","max_connections":360,
    "protocol":"h1","tls":false,"engine":{"slots":64,"kv_tokens":89474,"kv_bytes":18432,
    "link_mbps":700000.0,"moves":true,"backups":true,"stride":63,"most":12,"handle_ttl_s":0.5,
    "switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
    "idle_timeout_ms":15000}}
    """;
  }
}
