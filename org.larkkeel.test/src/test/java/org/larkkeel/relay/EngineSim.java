/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.RuleName;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.quota.QuotaTolerance;

/**
 * Test fixture: engines of given speeds in virtual time, and nodes whose routers place generations
 * at them, without a network. The same seed gives the same run.
 *
 * <p>A step of an engine takes longer the fuller its memory is; prompts are prefilled one after
 * another. Nodes report their loads to each other with a delay.
 */
final class EngineSim {
  static final long MILLI = 1_000_000L;
  static final ServiceName MODEL = new ServiceName("model");
  static final long MEMORY = 26_080;
  private static final int EVENT_TOKENS = 10;
  private static final DataCentreName HERE = new DataCentreName("dc-1");

  /** The time of a prompt token and of an output token at an idle engine of speed 1. */
  private static final double PREFILL_TOKEN_NANOS = 30_750;

  private static final double OUTPUT_TOKEN_NANOS = 6_700_000;

  /** The share by which a step at a full engine takes longer. */
  private static final double FULL_SLOWDOWN = 0.17;

  private static final long HANDOVER_NANOS = 10 * MILLI;
  private static final long REPORT_NANOS = 45 * MILLI;

  final SplittableRandom random;

  /** Draws the arrivals, so that they are the same whatever the decisions. */
  private final SplittableRandom arrivalRandom;

  final List<Node> nodes = new ArrayList<>();
  final Map<UpstreamName, Engine> engines = new LinkedHashMap<>();
  final List<RelayEffect> decisions = new ArrayList<>();
  final List<RelayFact> facts = new ArrayList<>();
  private final PriorityQueue<Due> queue =
      new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
  private long now = 1_000_000 * MILLI;
  private long order;
  private long lastCall;
  private long lastStart = 1;
  int arrived;
  int refused;
  int onTarget;
  int finished;

  /** The sum of the times from arrival to complete answer. */
  long wholeNanos;

  private record Due(long at, long order, Runnable action) {}

  /** One engine, with the state of its present incarnation. */
  static final class Engine {
    RelayUpstream upstream;
    double speed;
    int running;
    int runs;
    int prompts;
    long prefillBusyUntil;
    long pausedUntil;
  }

  /** One node, with its router. */
  final class Node {
    final HostName name;
    final RelayRouter router;
    final Map<AttemptId, Work> works = new HashMap<>();
    ImmutableMap<UpstreamIncarnation, Long> reported = ImmutableMap.of();

    Node(int number, int count) {
      name = new HostName("node-" + number);
      router =
          new RelayRouter(
              new RelaySettings(
                  HERE,
                  0.2,
                  20,
                  10_000 * MILLI,
                  count,
                  512,
                  1_500 * MILLI,
                  7 + number,
                  QuotaTolerance.NONE));
    }

    void apply(RelayEvent event) {
      List<RelayEffect> effects = new ArrayList<>();
      router.apply(event, effects::add);
      effects.forEach(e -> carryOut(this, event, e));
    }
  }

  /** An attempt at an engine. */
  private static final class Work {
    final Engine engine;
    final UpstreamIncarnation incarnation;
    final int prompt;
    int eventsLeft;
    boolean started;

    Work(Engine engine, int prompt, int eventsLeft) {
      this.engine = engine;
      this.incarnation = engine.upstream.incarnation();
      this.prompt = prompt;
      this.eventsLeft = eventsLeft;
    }
  }

  private record Size(int prompt, int output) {}

  private final Map<RequestId, Size> sizes = new HashMap<>();

  EngineSim(long seed, int nodeCount) {
    random = new SplittableRandom(seed);
    arrivalRandom = new SplittableRandom(~seed);
    for (int i = 0; i < nodeCount; i++) {
      nodes.add(new Node(i, nodeCount));
    }
    RelayRule rule =
        new RelayRule(
            new RuleName("stream"),
            "a.example",
            "/",
            ImmutableList.of(new RelayRule.Share(MODEL, 1)),
            CallKind.STREAM,
            14_000,
            1,
            900,
            450,
            1,
            false);
    RelayConfiguration configuration =
        new RelayConfiguration(
            1,
            ImmutableList.of(rule),
            ImmutableMap.of(MODEL, new ServiceBounds(1_000, MEMORY, EVENT_TOKENS, true)),
            1 << 20,
            Workspaces.OPEN);
    nodes.forEach(n -> n.apply(new RelayEvent.ConfigurationRead(now, configuration)));
    nodes.forEach(n -> n.apply(new RelayEvent.NodesCounted(now, nodeCount)));
  }

  /** Adds an engine, which the nodes discover with the next {@link #list}. */
  Engine add(String id, Stage stage, double speed) {
    Engine e = new Engine();
    e.speed = speed;
    e.upstream =
        new RelayUpstream(
            new UpstreamIncarnation(new UpstreamName(id), new Incarnation(lastStart++)),
            MODEL,
            "10.0.0.1:80",
            HERE,
            12,
            stage,
            false);
    engines.put(e.upstream.name(), e);
    return e;
  }

  /** Lets an engine end and start again; its work is lost. */
  void restart(Engine e) {
    final UpstreamIncarnation ended = e.upstream.incarnation();
    RelayUpstream u = e.upstream;
    e.upstream =
        new RelayUpstream(
            new UpstreamIncarnation(u.name(), new Incarnation(lastStart++)),
            u.service(),
            u.address(),
            u.dataCentre(),
            u.slots(),
            u.stage(),
            false);
    e.running = 0;
    e.prefillBusyUntil = now;
    for (Node n : nodes) {
      n.works.entrySet().stream()
          .filter(w -> w.getValue().incarnation.equals(ended))
          .map(Map.Entry::getKey)
          .sorted(Comparator.comparingLong(AttemptId::value))
          .toList()
          .forEach(
              id -> {
                n.works.remove(id);
                n.apply(new RelayEvent.Lost(now, id, FailureCause.CONNECTION_LOST));
              });
      list(n);
    }
  }

  /** Lets a node read the discovery list. */
  void list(Node n) {
    ImmutableMap.Builder<UpstreamName, RelayUpstream> all = ImmutableMap.builder();
    engines.values().forEach(e -> all.put(e.upstream.name(), e.upstream));
    n.apply(new RelayEvent.UpstreamsChanged(now, all.buildOrThrow(), ImmutableSet.of()));
  }

  void list() {
    nodes.forEach(this::list);
  }

  long now() {
    return now;
  }

  void after(long nanos, Runnable action) {
    queue.add(new Due(now + nanos, order++, action));
  }

  /** Lets calls arrive at random times, at random nodes. */
  void arrivals(double perSecond, long millis) {
    long end = now + millis * MILLI;
    after(nextArrival(perSecond), () -> arrive(perSecond, end));
  }

  private long nextArrival(double perSecond) {
    return (long) (-Math.log(1 - arrivalRandom.nextDouble()) / perSecond * 1e9);
  }

  private void arrive(double perSecond, long end) {
    if (now >= end) {
      return;
    }
    int prompt = 1_600 + arrivalRandom.nextInt(3_200);
    int output = 340 + arrivalRandom.nextInt(340);
    arrive(nodes.get(arrivalRandom.nextInt(nodes.size())), prompt, output);
    after(nextArrival(perSecond), () -> arrive(perSecond, end));
  }

  /** Lets one call arrive at a node. */
  void arrive(Node n, int prompt, int output) {
    arrived++;
    RequestId id = new RequestId(++lastCall);
    sizes.put(id, new Size(prompt, output));
    byte[] body = ("body of " + lastCall).getBytes(StandardCharsets.UTF_8);
    n.apply(
        new RelayEvent.Arrived(
            now,
            new RelayCall(
                id,
                "call-" + lastCall,
                "a.example",
                "/",
                0,
                new CallSize(prompt, 2 * output, output),
                PromptKey.NONE,
                false,
                new RequestIdentity("POST", "a.example", "/", "", body),
                Optional.empty())));
  }

  /** Lets time pass. */
  void pass(long millis) {
    long end = now + millis * MILLI;
    while (true) {
      long tick = nodes.stream().mapToLong(n -> n.router.nextDue()).min().orElse(Long.MAX_VALUE);
      long due = queue.isEmpty() ? Long.MAX_VALUE : queue.peek().at();
      if (Math.min(tick, due) > end) {
        break;
      }
      if (due <= tick) {
        now = Math.max(now, due);
        queue.poll().action().run();
      } else {
        now = Math.max(now, tick);
        nodes.stream()
            .filter(n -> n.router.nextDue() <= now)
            .forEach(n -> n.apply(new RelayEvent.Ticked(now)));
      }
    }
    now = end;
  }

  /** Lets the nodes report their loads to each other from now on, for some time. */
  void report(long millis) {
    long end = now + millis * MILLI;
    nodes.forEach(n -> after(random.nextLong(REPORT_NANOS), () -> report(n, end)));
  }

  private void report(Node n, long end) {
    ImmutableMap<UpstreamIncarnation, Long> loads = n.router.loads();
    if (loads != n.reported) {
      n.reported = loads;
      after(
          5 * MILLI,
          () ->
              nodes.stream()
                  .filter(other -> other != n)
                  .forEach(
                      other ->
                          other.apply(
                              new RelayEvent.LoadHeard(now, n.name, loads, ImmutableSet.of()))));
    }
    if (now < end) {
      after(REPORT_NANOS, () -> report(n, end));
    }
  }

  /** Returns the tokens that all nodes have reserved at an engine. */
  long reserved(Engine e) {
    return nodes.stream()
        .mapToLong(n -> n.router.loads().getOrDefault(e.upstream.incarnation(), 0L))
        .sum();
  }

  private void carryOut(Node n, RelayEvent event, RelayEffect effect) {
    switch (effect) {
      case RelayEffect.Report r -> {
        facts.add(r.fact());
        if (r.fact() instanceof RelayFact.Answered a) {
          finished++;
          onTarget += a.onTarget() ? 1 : 0;
          wholeNanos += a.nanos();
        }
      }
      case RelayEffect.Send s -> {
        decisions.add(effect);
        send(n, s);
      }
      case RelayEffect.Cancel c -> {
        decisions.add(effect);
        Work w = n.works.remove(c.attempt());
        if (w != null) {
          ended(w);
        }
      }
      case RelayEffect.Refuse f -> {
        decisions.add(effect);
        refused++;
      }
      case RelayEffect.Probe p -> {
        // The probe of an engine that is silent for a moment places no work.
        if (event instanceof RelayEvent.Lost) {
          decisions.add(effect);
        }
      }
      case RelayEffect.StoreSuspects s -> {
        // What is stored decides nothing about calls.
      }
      default -> decisions.add(effect);
    }
  }

  private void send(Node n, RelayEffect.Send s) {
    Engine e = engines.get(s.upstream().name());
    if (!e.upstream.incarnation().equals(s.upstream().incarnation())) {
      after(
          MILLI,
          () -> n.apply(new RelayEvent.Lost(now, s.attempt(), FailureCause.CONNECTION_LOST)));
      return;
    }
    Size size = sizes.get(s.call());
    Work w = new Work(e, size.prompt(), size.output() / EVENT_TOKENS);
    n.works.put(s.attempt(), w);
    boolean isPrompt = s.purpose() instanceof RelayEffect.Purpose.ReadPrompt;
    boolean isLocal =
        s.purpose() instanceof RelayEffect.Purpose.Run
            || s.purpose() instanceof RelayEffect.Purpose.Fetch;
    long wait = HANDOVER_NANOS;
    if (isPrompt || isLocal) {
      double nanos = size.prompt() * PREFILL_TOKEN_NANOS * (isLocal ? 2 : 1) / e.speed;
      e.prefillBusyUntil = Math.max(now, e.prefillBusyUntil) + (long) nanos;
      wait = e.prefillBusyUntil - now;
    }
    if (isPrompt) {
      e.prompts++;
      after(wait, () -> promptRead(n, s.attempt(), w));
    } else {
      e.runs++;
      after(wait, () -> nextEvent(n, s.attempt(), w));
    }
  }

  private void promptRead(Node n, AttemptId id, Work w) {
    if (n.works.remove(id, w)) {
      n.apply(new RelayEvent.PromptRead(now, id, "handle"));
    }
  }

  private void nextEvent(Node n, AttemptId id, Work w) {
    if (n.works.get(id) != w) {
      return;
    }
    Engine e = w.engine;
    if (now < e.pausedUntil) {
      after(e.pausedUntil - now, () -> nextEvent(n, id, w));
      return;
    }
    if (!w.started) {
      w.started = true;
      e.running++;
      n.apply(new RelayEvent.Began(now, id));
    }
    n.apply(new RelayEvent.Progressed(now, id, 1));
    if (--w.eventsLeft <= 0) {
      n.works.remove(id);
      ended(w);
      n.apply(new RelayEvent.Answered(now, id, AnswerGrade.GOOD));
      return;
    }
    double fill = Math.min(1, e.running / 7.0);
    double nanos = EVENT_TOKENS * OUTPUT_TOKEN_NANOS / e.speed * (1 + FULL_SLOWDOWN * fill);
    nanos *= 0.9 + 0.2 * random.nextDouble();
    after((long) nanos, () -> nextEvent(n, id, w));
  }

  private static void ended(Work w) {
    if (w.started && w.incarnation.equals(w.engine.upstream.incarnation())) {
      w.engine.running--;
    }
  }
}
