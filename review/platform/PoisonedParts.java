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
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Requests with a part that crashes runners come beside sound ones. Checks BUDGET: at most three of
 * them reach runners once {@code stable_window_ms} have passed since the fifth crash; and LOST: from
 * twice that time on, sound requests with the same first part begin at least half as often as
 * before. The exit status is that of LOST in the variant {@code failing}, else that of BUDGET.
 *
 * <p>Arguments: the folder of the case; the variant: {@code first} (the deadly part is the first of
 * the prompt, and the requests come in pairs), {@code groups} (it is the second part, and eight
 * come at the same moment) or {@code failing} (it is the second part, and one runner fails a part of
 * its requests when they begin to come).
 *
 * <p>The variable {@code TROUBLE} is 0 for no disruption, or {@code part} for the deadly part
 * without the runner that fails.
 */
final class PoisonedParts {
  private static final int NODES = 4;
  private static final List<String> ZONES = List.of("ulemiste", "lasnamae", "maardu");
  private static final long STABLE_WINDOW_NANOS = 3_000_000_000L;
  private static final String FIRST = "5c1e07a2";
  private static final String SHARED = "91bd3f06";
  private static final String DEADLY = "dead0bad";

  private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final String variant;
  private final Kit.Record record;
  private final SplittableRandom random;
  private final List<Long> crashes = new CopyOnWriteArrayList<>();
  private final AtomicLong fifthCrashAt = new AtomicLong(Long.MAX_VALUE);
  private final AtomicInteger reachedLate = new AtomicInteger();
  private final AtomicInteger soundSent = new AtomicInteger();
  private final AtomicInteger soundServed = new AtomicInteger();
  private final AtomicInteger soundBroken = new AtomicInteger();
  private final List<Sound> sound = new CopyOnWriteArrayList<>();
  private volatile long troubleAt = Long.MAX_VALUE;
  private volatile long lastDeadlyAt;
  private final AtomicInteger deadlySent = new AtomicInteger();
  private final AtomicInteger deadlyServed = new AtomicInteger();
  private final List<Kit.Node> nodes = new ArrayList<>();
  private final List<ModelRunner> runners = new ArrayList<>();

  /** A sound request: when it was sent, and whether its answer began. */
  private record Sound(long sentAt, boolean begun) {}

  private PoisonedParts(String variant, Kit.Record record, long seed) {
    this.variant = variant;
    this.record = record;
    this.random = new SplittableRandom(seed);
  }

  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args[0]);
    Path temporary = Files.createTempDirectory("review");
    long seed = System.nanoTime();
    int status = 2;
    try (Kit.Record record = new Kit.Record(folder.resolve("record.txt"))) {
      PoisonedParts test = new PoisonedParts(args[1], record, seed);
      try {
        record.line("variant=%s trouble=%b seed=%d", args[1], test.trouble, seed);
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
    List<String> stages =
        List.of("prefill", "prefill", "decode", "decode", "decode", "decode", "decode", "decode", "decode");
    for (int i = 0; i < stages.size(); i++) {
      ModelRunner r =
          new ModelRunner(
              store,
              new InetSocketAddress(net + "." + (100 + i), 8080),
              "clause-readers",
              ZONES.get(i % ZONES.size()),
              stages.get(i),
              new Observer(),
              random.nextLong());
      runners.add(r);
      if (trouble) {
        r.setDeadlyParts(Set.of(DEADLY));
      }
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
    Thread sound = Thread.startVirtualThread(this::soundTraffic);
    Thread.sleep(8_000);
    record.line("requests with the part %s begin", DEADLY);
    troubleAt = System.nanoTime();
    switch (variant) {
      case "groups" -> groups(4, 8, 5_000, false);
      case "first" -> groups(11, 2, 4_000, true);
      case "failing" -> failing();
      default -> throw new IllegalArgumentException(variant);
    }
    sound.interrupt();
    Thread.sleep(3_000);
    return judge();
  }

  /** Sends groups of requests with the deadly part, each request to another node in turn. */
  private void groups(int count, int size, int pauseMillis, boolean isFirst) throws Exception {
    for (int g = 0; g < count; g++) {
      for (int i = 0; i < size; i++) {
        int node = (g * size + i) % NODES;
        Thread.startVirtualThread(() -> deadly(node, isFirst));
      }
      Thread.sleep(pauseMillis);
    }
  }

  /**
   * Sends requests with the deadly part, three at a time and later single ones; a decode runner
   * fails a part of all its requests for a while from the beginning on.
   */
  private void failing() throws Exception {
    ModelRunner grey = runners.getLast();
    if (trouble && !"part".equals(System.getenv("TROUBLE"))) {
      grey.setFailureShare(0.45);
      record.line("%s fails 0.45 of its requests for 6.5 s", grey.id());
    }
    groups(6, 8, 1_000, false);
    Thread.sleep(500);
    grey.setFailureShare(0);
    record.line("no runner fails requests of its own");
    groups(40, 1, 1_000, false);
  }

  private void deadly(int node, boolean isFirst) {
    int n = deadlySent.incrementAndGet();
    lastDeadlyAt = System.nanoTime();
    String id = "deadly-%04d".formatted(n);
    String own = "%08x".formatted(0x40000000 + n);
    String parts =
        isFirst
            ? DEADLY + ":200," + SHARED + ":400," + own + ":4600"
            : FIRST + ":200," + DEADLY + ":400," + own + ":4600";
    Kit.Streamed s = send(node, id, parts);
    deadlyServed.addAndGet(s.complete() ? 1 : 0);
    record.line("answer id=%s node=%d %s", id, node, s);
  }

  private Kit.Streamed send(int node, String id, String parts) {
    return Kit.stream(
        nodes.get(node).front(),
        "POST /pufi791/2f",
        "X-Request-Id: %s\r\nX-Model: m\r\nX-Token-Usage: 5200,70\r\nX-Prefix-Hash: %s\r\nX-Deadline-Ms: 14000\r\n"
            .formatted(id, parts),
        "prompt " + id,
        3_600);
  }

  private void soundTraffic() {
    try {
      for (int i = 0; ; i++) {
        int n = i;
        Thread.startVirtualThread(
            () -> {
              String id = "sound-%05d".formatted(n);
              soundSent.incrementAndGet();
              final long sentAt = System.nanoTime();
              Kit.Streamed s =
                  send(
                      n % NODES,
                      id,
                      FIRST + ":200," + SHARED + ":400,%08x:4600".formatted(0x20000000 + n));
              sound.add(new Sound(sentAt, s.status() == 200 && s.events() > 0));
              if (s.complete()) {
                soundServed.incrementAndGet();
              } else if (s.status() == 200) {
                soundBroken.incrementAndGet();
              }
              if (!s.complete()) {
                record.line("answer id=%s node=%d %s", id, n % NODES, s);
              }
            });
        Thread.sleep(250);
      }
    } catch (InterruptedException e) {
      // The traffic ends.
    }
  }

  private final class Observer implements ModelRunner.Observer {
    @Override
    public void reached(ModelRunner runner, Kit.Message request) {
      if (!request.header("X-Prefix-Hash").contains(DEADLY)) {
        return;
      }
      long after = System.nanoTime() - fifthCrashAt.get();
      boolean late = fifthCrashAt.get() != Long.MAX_VALUE && after > STABLE_WINDOW_NANOS;
      int count = late ? reachedLate.incrementAndGet() : reachedLate.get();
      record.line(
          "reached id=%s runner=%s late=%b count=%d",
          request.header("X-Request-Id"), runner.id(), late, count);
    }

    @Override
    public void crashed(ModelRunner runner, Kit.Message request) {
      crashes.add(System.nanoTime());
      if (crashes.size() == 5) {
        fifthCrashAt.set(System.nanoTime());
      }
      record.line(
          "crashed id=%s runner=%s crashes=%d",
          request.header("X-Request-Id"), runner.id(), crashes.size());
    }

    @Override
    public void failed(ModelRunner runner, Kit.Message request) {
      record.line("failed id=%s runner=%s status=500", request.header("X-Request-Id"), runner.id());
    }

    @Override
    public void ordered(ModelRunner runner, String body) {
      record.line("ordered runner=%s body=%s", runner.id(), body);
    }
  }

  private int judge() {
    for (Kit.Node n : nodes) {
      if (!n.isAlive()) {
        record.line("the process of %s has ended", n.name);
      }
    }
    record.line(
        "crashes=%d reached_late=%d sound_sent=%d sound_served=%d sound_broken_midway=%d"
            + " deadly_sent=%d deadly_served=%d",
        crashes.size(),
        reachedLate.get(),
        soundSent.get(),
        soundServed.get(),
        soundBroken.get(),
        deadlySent.get(),
        deadlyServed.get());
    if (soundServed.get() == 0) {
      record.line("no request was served");
      return 2;
    }
    boolean budget = reachedLate.get() > 3;
    boolean lost = isLostBroken();
    if (budget) {
      record.line("BROKEN: BUDGET: more than three reached runners");
    }
    if (lost) {
      record.line("BROKEN: LOST: sound requests begin less than half as often as before");
    }
    if (!budget && !lost) {
      record.line("held");
    }
    return variant.equals("failing") ? lost ? 1 : 0 : budget ? 1 : 0;
  }

  /**
   * Returns whether LOST is broken: from two stable windows after the fifth crash on, while requests
   * with the part come, sound ones begin at their first attempt less than half as often as before.
   */
  private boolean isLostBroken() {
    if (fifthCrashAt.get() == Long.MAX_VALUE) {
      return false;
    }
    long from = fifthCrashAt.get() + 2 * STABLE_WINDOW_NANOS;
    List<Sound> before = sound.stream().filter(s -> s.sentAt() < troubleAt).toList();
    List<Sound> during =
        sound.stream().filter(s -> s.sentAt() >= from && s.sentAt() <= lastDeadlyAt).toList();
    long begunBefore = before.stream().filter(Sound::begun).count();
    long begunDuring = during.stream().filter(Sound::begun).count();
    record.line(
        "sound_before=%d begun_before=%d sound_during=%d begun_during=%d",
        before.size(), begunBefore, during.size(), begunDuring);
    return before.size() >= 20
        && during.size() >= 20
        && (double) begunDuring / during.size() < 0.5 * begunBefore / before.size();
  }

  private static String configuration() {
    return """
    {"version":7,"routes":[{"name":"r-i9n73hh","host":"ficu95.example","path_prefix":"/pufi791/",
    "kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,
    "service":"clause-readers","max_attempts":1,"sticky_sessions":true,"allow_resume":false,
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
