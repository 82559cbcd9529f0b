/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Single runners go dark for a moment and start again under their ids with another version of their
 * software. Checks ORDER: at most two streams hold events of two versions.
 *
 * <p>Argument: the folder of the case.
 */
final class UpgradedInPlace {
  private static final int NODES = 4;
  private static final int PREFILLS = 2;
  private static final int RUNNERS = 9;
  private static final int UPGRADES = 3;
  private static final int DARK_MILLIS = 1_500;
  private static final List<String> ZONES = List.of("ulemiste", "lasnamae", "maardu");

  private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Kit.Record record;
  private final SplittableRandom random = new SplittableRandom(System.nanoTime());
  private final List<Kit.Node> nodes = new ArrayList<>();
  private final List<ModelRunner> runners = new ArrayList<>();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger mixed = new AtomicInteger();

  private UpgradedInPlace(Kit.Record record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args[0]);
    Path temporary = Files.createTempDirectory("review");
    int status = 2;
    try (Kit.Record record = new Kit.Record(folder.resolve("record.txt"))) {
      UpgradedInPlace test = new UpgradedInPlace(record);
      try {
        record.line("trouble=%b", test.trouble);
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
    store.put("config", "main", TwoVersions.configuration());
    for (int i = 0; i < RUNNERS; i++) {
      ModelRunner r =
          new ModelRunner(
              store,
              new InetSocketAddress(net + "." + (100 + i), 8080),
              "clause-readers",
              ZONES.get(i % ZONES.size()),
              i < PREFILLS ? "prefill" : "decode",
              new Observer(),
              random.nextLong());
      r.eventMillis = 50;
      runners.add(r);
    }
    String seeds = net + ".10:8146," + net + ".11:8146," + net + ".12:8146";
    for (int i = 0; i < NODES; i++) {
      nodes.add(
          new Kit.Node(temporary, net, i, ZONES.get(i % ZONES.size()), seeds, store.address(i)));
    }
    for (Kit.Node n : nodes) {
      n.start();
    }
    Kit.awaitReady(nodes);
    Thread.sleep(5_000);
    record.line("traffic begins");
    List<Thread> clients = new ArrayList<>();
    Thread traffic = Thread.startVirtualThread(() -> traffic(clients));
    Thread.sleep(5_000);
    for (int i = 0; i < UPGRADES; i++) {
      if (trouble) {
        ModelRunner r = runners.get(PREFILLS + i);
        record.line("%s goes dark for %d ms; it comes back as v2", r.id(), DARK_MILLIS);
        r.powerOff(DARK_MILLIS, "v2");
      }
      Thread.sleep(6_000);
    }
    traffic.interrupt();
    traffic.join();
    for (Thread c : clients) {
      c.join(20_000);
    }
    return judge();
  }

  private void traffic(List<Thread> clients) {
    try {
      for (int i = 0; ; i++) {
        int n = i;
        clients.add(Thread.startVirtualThread(() -> client("q-%04d".formatted(n), n % NODES)));
        Thread.sleep(125);
      }
    } catch (InterruptedException e) {
      // The traffic ends.
    }
  }

  private void client(String id, int node) {
    sent.incrementAndGet();
    Kit.Streamed s =
        Kit.stream(
            nodes.get(node).front(),
            "POST /lohu930/2f",
            ("X-Request-Id: %s\r\nX-Model: m\r\nX-Token-Usage: 5200,70\r\n"
                    + "X-Prefix-Hash: 5c1e07a2:200,%08x:5000\r\nX-Deadline-Ms: 14000\r\n")
                .formatted(id, id.hashCode()),
            "prompt " + id,
            3_600);
    served.addAndGet(s.complete() ? 1 : 0);
    boolean isMixed = s.writers().size() > 1;
    mixed.addAndGet(isMixed ? 1 : 0);
    record.line("answer id=%s node=%s %s%s", id, nodes.get(node).name, s, isMixed ? " MIXED" : "");
  }

  private final class Observer implements ModelRunner.Observer {
    @Override
    public void reached(ModelRunner runner, Kit.Message request) {
      record.line(
          "run id=%s runner=%s version=%s last_event=%s",
          request.header("X-Request-Id"),
          runner.id(),
          runner.version(),
          request.header("Last-Event-Id"));
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
        "streams_of_two_versions=%d sent=%d served=%d", mixed.get(), sent.get(), served.get());
    if (served.get() == 0) {
      return 2;
    }
    boolean broken = mixed.get() > 2;
    record.line(broken ? "BROKEN: more than two streams hold events of two versions" : "held");
    return broken ? 1 : 0;
  }
}
