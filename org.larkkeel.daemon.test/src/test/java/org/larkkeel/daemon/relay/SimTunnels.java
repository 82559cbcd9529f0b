/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.larkkeel.event.FailureCause;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.RuleName;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.AnswerGrade;
import org.larkkeel.relay.CallKind;
import org.larkkeel.relay.RefusalCause;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayRule;
import org.larkkeel.relay.ServiceBounds;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.UpstreamPath;
import org.larkkeel.relay.Workspaces;

/**
 * Answers of a {@link SimCluster} that end with their connection, on direct paths and through
 * tunnels that other nodes carry, and what their callers get.
 *
 * <p>Taken as given, as it is below the reducer: bytes are read at once and in order, events are
 * complete, frames are told from one another, the system closes the connections of a killed process
 * in order, and all nodes know frames. What a node makes of the end of a connection is decided here
 * by the rule of design note 34: through a tunnel, an end without a mark is a loss, and the carrier
 * marks it unless the upstream refuses a connect after the delay of the probe; on a direct path,
 * the node itself probes. What follows from that is left to the reducer.
 *
 * <p>Upstreams take every request. Confined to the thread of the cluster.
 */
final class SimTunnels {
  /** The time from the end of a connection to the connect that probes the upstream. */
  static final long PROBE_DELAY_MILLIS = 25;

  static final int MAX_RUNS = 4;

  private static final long EVENT_MILLIS = 30;
  private static final int MIN_EVENTS = 8;
  private static final int MAX_EVENTS = 20;
  private static final ServiceName SERVICE = new ServiceName("app");

  /** What the caller of a call has got. */
  enum Outcome {
    /** Nothing that ends yet. */
    OPEN,
    /** The whole answer. */
    WHOLE,
    /** A part that looks complete. */
    PART,
    /** A failure, or a stream that was aborted. */
    FAILED,
    /** A closed connection, as the node of the caller was killed. */
    DROPPED
  }

  /** A call with what its caller has got. */
  static final class Call {
    final CallKind kind;
    final int events;
    Outcome outcome = Outcome.OPEN;

    /** The number of upstreams that have run the call. */
    int runs;

    /** The number of answers that were lost before their end. */
    int losses;

    /** Whether a run began at an upstream whose answer was lost before. */
    boolean ranAgainWhereLost;

    /** Whether the upstream of the delivered answer ended and listened again before the probe. */
    boolean endHidden;

    private final Set<UpstreamIncarnation> lostAt = new HashSet<>();
    private int received;

    private Call(CallKind kind, int events) {
      this.kind = kind;
      this.events = events;
    }

    /** Returns whether the caller has all events, and at most the end is missing. */
    boolean hasAllEvents() {
      return received == events;
    }
  }

  private record CallKey(SimCluster.Node node, RequestId id) {}

  private record AnswerKey(SimCluster.Node node, AttemptId id) {}

  private final SimCluster cluster;
  private final SplittableRandom random;
  private final RelayConfiguration configuration;
  private final Map<CallKey, Call> calls = new HashMap<>();
  private final Map<AnswerKey, Answer> answers = new HashMap<>();

  /** The number of answers that ended at the caller's node without a mark. */
  int unmarked;

  /** The number of answers that were lost as their upstream refused the probe. */
  int refusedProbes;

  /** Makes upstreams of the plain service answer in this way from now on. */
  SimTunnels(SimCluster cluster) {
    this.cluster = cluster;
    this.random = cluster.random.split();
    this.configuration =
        new RelayConfiguration(
            2,
            Stream.of(CallKind.values())
                .map(SimTunnels::rule)
                .collect(ImmutableList.toImmutableList()),
            ImmutableMap.of(SERVICE, new ServiceBounds(700, 0, 0, false)),
            1 << 20,
            Workspaces.OPEN);
    cluster.tunnels = Optional.of(this);
    cluster.configure(configuration);
  }

  private static RelayRule rule(CallKind kind) {
    return new RelayRule(
        new RuleName(name(kind)),
        "a.example",
        "/" + name(kind) + "/",
        ImmutableList.of(new RelayRule.Share(SERVICE, 1)),
        kind,
        14_000,
        kind.isRepeatable() ? MAX_RUNS : 1,
        900,
        0,
        1,
        false);
  }

  private static String name(CallKind kind) {
    return kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns all calls. */
  List<Call> calls() {
    return List.copyOf(calls.values());
  }

  /** Sends a call to a node. */
  void submit(SimCluster.Node node, CallKind kind) {
    calls.put(
        new CallKey(node, node.nextCall()),
        new Call(kind, random.nextInt(MIN_EVENTS, MAX_EVENTS + 1)));
    node.submitCallTo("/" + name(kind) + "/a");
  }

  /** Returns the nodes through which answers pass at the moment, in a fixed order. */
  List<SimCluster.Node> carriers() {
    return cluster.nodes.stream()
        .filter(n -> answers.values().stream().anyMatch(a -> a.carrier.equals(Optional.of(n))))
        .toList();
  }

  /** Kills a node's process, which carries tunnels; it starts again after a time. */
  void killNode(SimCluster.Node node, long downMillis) {
    cluster.restartNode(node, downMillis);
    cluster.after(downMillis + 1, () -> cluster.configure(configuration));
    calls.forEach(
        (key, call) -> {
          if (key.node() == node && call.outcome == Outcome.OPEN) {
            call.outcome = Outcome.DROPPED;
          }
        });
    answers.keySet().removeIf(k -> k.node() == node);
    current().stream()
        .filter(a -> a.carrier.equals(Optional.of(node)))
        .forEach(Answer::connectionToCarrierEnded);
  }

  /** Kills an upstream's process; another one listens at its address after a time. */
  void killUpstream(UpstreamName upstream, long downMillis) {
    cluster.crash(upstream, downMillis);
    current().stream()
        .filter(a -> a.upstream.name().equals(upstream))
        .forEach(a -> a.processEnded(downMillis));
  }

  /** Returns the answers in the order of their nodes and attempts, which does not vary. */
  private List<Answer> current() {
    return cluster.nodes.stream()
        .flatMap(
            n ->
                answers.entrySet().stream()
                    .filter(e -> e.getKey().node() == n)
                    .sorted(Map.Entry.comparingByKey((a, b) -> a.id().compareTo(b.id())))
                    .map(Map.Entry::getValue))
        .toList();
  }

  /** Runs an attempt whose path is not cut at an upstream that listens. */
  void run(SimCluster.Node node, RelayEffect.Send send) {
    Optional<SimCluster.Node> carrier = Optional.empty();
    if (send.path() == UpstreamPath.TUNNEL) {
      List<SimCluster.Node> offered =
          cluster.nodes.stream().filter(n -> n != node && n.up && !n.paths.isLost()).toList();
      if (offered.isEmpty()) {
        // The last carrier was killed between the choice of the path and this.
        node.after(
            SimCluster.NANOS_PER_MILLI,
            () ->
                node.submit(
                    new RelayEvent.Refused(
                        cluster.nowNanos(), send.attempt(), RefusalCause.CONNECT_TIMED_OUT)));
        return;
      }
      carrier = Optional.of(offered.get(random.nextInt(offered.size())));
    }
    Call call = calls.get(new CallKey(node, send.call()));
    call.runs++;
    call.ranAgainWhereLost |= call.lostAt.contains(send.upstream().incarnation());
    Answer answer = new Answer(node, send, carrier, call);
    answers.put(answer.key, answer);
    cluster.after(EVENT_MILLIS, answer::write);
  }

  /** Takes note of an effect at a node. */
  void observe(SimCluster.Node node, RelayEffect effect) {
    switch (effect) {
      case RelayEffect.ForwardStream f -> answer(node, f.attempt()).ifPresent(Answer::forward);
      case RelayEffect.Deliver d ->
          delivered(calls.get(new CallKey(node, d.call())), remove(node, d.attempt()));
      case RelayEffect.Cancel c -> remove(node, c.attempt());
      case RelayEffect.Refuse r -> failed(node, r.call());
      case RelayEffect.Cut c -> failed(node, c.call());
      default -> {}
    }
  }

  private Optional<Answer> answer(SimCluster.Node node, AttemptId attempt) {
    return Optional.ofNullable(answers.get(new AnswerKey(node, attempt)));
  }

  private Optional<Answer> remove(SimCluster.Node node, AttemptId attempt) {
    return Optional.ofNullable(answers.remove(new AnswerKey(node, attempt)));
  }

  /** Ends a call as complete; an answer that is no longer there can't be the whole one. */
  private static void delivered(Call call, Optional<Answer> answer) {
    boolean whole = answer.isPresent() && answer.get().isWhole();
    call.outcome = whole ? Outcome.WHOLE : Outcome.PART;
    call.endHidden = answer.isPresent() && answer.get().endHidden;
  }

  private void failed(SimCluster.Node node, RequestId id) {
    Call call = calls.get(new CallKey(node, id));
    if (call != null && call.outcome == Outcome.OPEN) {
      call.outcome = Outcome.FAILED;
    }
  }

  /** The answer to one attempt. */
  private final class Answer {
    final AnswerKey key;
    final UpstreamIncarnation upstream;
    final Optional<SimCluster.Node> carrier;
    private final SimCluster.Node node;
    private final Call call;

    /** The number of events that the upstream has to write. */
    private final int events;

    private int written;
    private int forwarded;
    private boolean forwarding;

    /** Whether the upstream's connection has ended, in order. */
    private boolean ended;

    /** Whether the upstream's process has ended and another one listens before the probe. */
    private boolean endHidden;

    Answer(
        SimCluster.Node node, RelayEffect.Send send, Optional<SimCluster.Node> carrier, Call call) {
      this.node = node;
      this.key = new AnswerKey(node, send.attempt());
      this.upstream = send.upstream().incarnation();
      this.carrier = carrier;
      this.call = call;
      this.events = call.events - call.received;
    }

    /** Returns whether the caller has all events, if the answer is delivered. */
    boolean isWhole() {
      return written == events && (!call.kind.isStream() || call.hasAllEvents());
    }

    private boolean isOpen() {
      return answers.get(key) == this;
    }

    /** Writes an event or a part of a plain answer, and closes the connection after the last. */
    void write() {
      if (!isOpen() || ended) {
        return;
      }
      if (written < events) {
        written++;
        read();
      }
      if (written == events) {
        connectionToUpstreamEnded();
      } else {
        cluster.after(EVENT_MILLIS, this::write);
      }
    }

    private void read() {
      if (!call.kind.isStream()) {
        return;
      }
      if (written == 1) {
        node.submit(new RelayEvent.Began(cluster.nowNanos(), key.id()));
      }
      forwardRead();
    }

    /** Forwards what was read, and each event that follows. */
    void forward() {
      forwarding = true;
      forwardRead();
    }

    private void forwardRead() {
      int count = written - forwarded;
      if (forwarding && count > 0) {
        forwarded = written;
        call.received += count;
        node.submit(new RelayEvent.Progressed(cluster.nowNanos(), key.id(), count));
      }
    }

    /** The upstream's process was killed; another one listens after a time. */
    void processEnded(long downMillis) {
      if (!ended) {
        endHidden = downMillis <= PROBE_DELAY_MILLIS;
        connectionToUpstreamEnded();
      }
    }

    /** Probes the upstream at the node that holds the connection. */
    private void connectionToUpstreamEnded() {
      ended = true;
      carrier
          .orElse(node)
          .after(PROBE_DELAY_MILLIS * SimCluster.NANOS_PER_MILLI, this::probeUpstream);
    }

    private void probeUpstream() {
      if (!isOpen()) {
        return;
      }
      if (cluster.down.contains(upstream.name())) {
        refusedProbes++;
        lose();
      } else {
        endMarked();
      }
    }

    /** The end is that of the upstream's answer, as far as a node can tell. */
    private void endMarked() {
      if (call.kind.isStream() && written == 0) {
        // A stream that ends before its first event.
        lose();
        return;
      }
      node.submit(new RelayEvent.Answered(cluster.nowNanos(), key.id(), AnswerGrade.GOOD));
    }

    /** The connection to the carrier has ended without a mark. */
    void connectionToCarrierEnded() {
      unmarked++;
      ended = true;
      lose();
    }

    private void lose() {
      call.losses++;
      call.lostAt.add(upstream);
      node.after(
          SimCluster.NANOS_PER_MILLI,
          () -> {
            if (isOpen()) {
              answers.remove(key);
              node.submit(
                  new RelayEvent.Lost(cluster.nowNanos(), key.id(), FailureCause.CONNECTION_LOST));
            }
          });
    }
  }
}
