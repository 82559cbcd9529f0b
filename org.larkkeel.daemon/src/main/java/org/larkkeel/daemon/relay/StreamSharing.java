/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.larkkeel.lib.HostName;
import org.larkkeel.relay.ListWitness;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayRouter;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.StreamBuild;
import org.larkkeel.relay.StreamFinding;
import org.larkkeel.relay.StreamId;
import org.larkkeel.relay.StreamLookup;

/**
 * Keeps the builds that began streams at a few nodes, and finds them there.
 *
 * <p>The keepers of a stream are the first nodes in an order that all nodes compute from its id and
 * their names. A stream is recorded at a few more than one, as some may be killed with the node
 * that began it, and asked for at a few more than that, as nodes may have been added since.
 * Messages may be lost; a question is repeated. Not thread-safe.
 */
final class StreamSharing {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int KEEPERS = 3;
  private static final int ASKED = 5;

  /** The number of nodes that write a stream to the store. */
  private static final int WRITERS = 2;

  private static final long REPEAT_NANOS = 40 * NANOS_PER_MILLI;
  private static final long SECOND_REPEAT_NANOS = 150 * NANOS_PER_MILLI;

  /** The time that the store has to confirm the list of a node that is asked. */
  private static final long CONFIRMATION_NANOS = 30 * NANOS_PER_MILLI;

  /** The further time that it has to tell what served before such a node started. */
  private static final long HISTORY_NANOS = 80 * NANOS_PER_MILLI;

  /** The time after which the answers that were received decide. */
  private static final long MAX_WAIT_NANOS = 300 * NANOS_PER_MILLI;

  /** The delay of a timer from which the event loop counts as held up. */
  private static final long MAX_LATE_NANOS = 20 * NANOS_PER_MILLI;

  /** The further wait after the event loop was held up. */
  private static final long EXTENSION_NANOS = 40 * NANOS_PER_MILLI;

  private final PeerTable peers;
  private final LoadSharing.Environment environment;
  private final BiConsumer<PeerTable.Peer, StreamMessage> sender;
  private final Map<StreamId, Question> questions = new HashMap<>();
  private RelayRouter router;
  private Consumer<StreamBuild> storage = s -> {};

  /** A question in progress. */
  private static final class Question {
    final ServiceName service;
    final int askedCount;
    final Set<PeerTable.Peer> unanswered;
    private final ImmutableList.Builder<HostName> answered = ImmutableList.builder();
    private int answerCount;
    private boolean isCurrent;
    private Optional<StreamLookup> best = Optional.empty();

    /** As {@link #best}, but what nodes remember that have not read the list counts as listed. */
    private Optional<StreamLookup> bestRecent = Optional.empty();

    Question(ServiceName service, List<PeerTable.Peer> asked) {
      this.service = service;
      this.askedCount = asked.size();
      this.unanswered = new HashSet<>(asked);
    }

    void add(HostName from, StreamMessage.Answered m) {
      answered.add(from);
      answerCount++;
      isCurrent |= m.current() && m.result().onlyBuild().isPresent();
      StreamLookup recent =
          m.result() instanceof StreamLookup.Sole s && !m.current()
              ? new StreamLookup.Listed(s.build())
              : m.result();
      best = Optional.of(best.map(b -> strongest(b, m.result())).orElse(m.result()));
      bestRecent = Optional.of(bestRecent.map(b -> strongest(b, recent)).orElse(recent));
    }

    /**
     * Returns what was found. The answers are those of a majority if they are more than half of the
     * nodes, or if all that were asked have answered and most nodes are live: a part of the nodes
     * that is cut off has most of those asked on its other side.
     */
    StreamFinding finding(PeerTable peers) {
      ListWitness witness = ListWitness.NONE;
      if (isCurrent) {
        witness = ListWitness.PEER;
      } else if (peers.isMajority(answerCount + 1)
          || (answerCount == askedCount && peers.isMajority(peers.liveCount() + 1))) {
        witness = ListWitness.MAJORITY;
      }
      return new StreamFinding(
          witness == ListWitness.PEER ? bestRecent : best, witness, answered.build());
    }

    /**
     * Returns the stronger of two answers: that of a node that knows the stream, then of one that
     * knows of several builds, then of one that has long known only one. Two nodes that know
     * different builds know of several.
     */
    private static StreamLookup strongest(StreamLookup a, StreamLookup b) {
      if (a.onlyBuild().isPresent()
          && b.onlyBuild().isPresent()
          && !a.onlyBuild().equals(b.onlyBuild())) {
        return new StreamLookup.Unknown();
      }
      return weight(b) > weight(a) ? b : a;
    }

    private static int weight(StreamLookup result) {
      return switch (result) {
        case StreamLookup.Known k -> 3;
        case StreamLookup.Unknown u -> 2;
        case StreamLookup.Sole s -> 1;
        case StreamLookup.Listed l -> 0;
      };
    }
  }

  /**
   * Creates an instance that keeps nothing itself.
   *
   * @param peers the peers
   * @param environment the callbacks into the owner
   * @param sender sends a message to a peer
   */
  StreamSharing(
      PeerTable peers,
      LoadSharing.Environment environment,
      BiConsumer<PeerTable.Peer, StreamMessage> sender) {
    this.peers = peers;
    this.environment = environment;
    this.sender = sender;
  }

  /** Sets the router, which keeps the streams that peers tell. */
  void router(RelayRouter keeper) {
    router = keeper;
  }

  /** Sets what writes streams to the store. */
  void storage(Consumer<StreamBuild> writer) {
    storage = writer;
  }

  /** Executes an effect of the router. */
  void execute(RelayEffect.OfStream effect) {
    switch (effect) {
      case RelayEffect.RecordStream e -> {
        keepers(e.stream().stream(), KEEPERS)
            .forEach(p -> sender.accept(p, new StreamMessage.Told(e.stream())));
        store(e.stream());
      }
      case RelayEffect.FindStream e -> ask(e.stream(), e.service());
    }
  }

  /**
   * Has a few nodes write a stream to the store. They are the same for all streams, so that many
   * are written at once, and two, as one may be cut off from the store.
   */
  private void store(StreamBuild stream) {
    List<PeerTable.Peer> first = peers.lowestRanked(WRITERS, p -> writerRank(p.name));
    long own = writerRank(peers.self());
    int before = (int) first.stream().filter(p -> writerRank(p.name) < own).count();
    if (before < WRITERS) {
      storage.accept(stream);
    }
    first.stream()
        .limit(before < WRITERS ? WRITERS - 1 : WRITERS)
        .forEach(p -> sender.accept(p, new StreamMessage.ToStore(stream)));
  }

  private static long writerRank(HostName node) {
    return Hashing.murmur3_128().hashUnencodedChars(node.value()).asLong();
  }

  private List<PeerTable.Peer> keepers(StreamId stream, int count) {
    long hash = Hashing.murmur3_128().hashUnencodedChars(stream.value()).asLong() | 1;
    return peers.lowestRanked(
        count, p -> Hashing.murmur3_128().hashUnencodedChars(p.name.value()).asLong() * hash);
  }

  private void ask(StreamId stream, ServiceName service) {
    if (questions.containsKey(stream)) {
      return;
    }
    List<PeerTable.Peer> asked = keepers(stream, ASKED);
    if (asked.isEmpty()) {
      submit(stream, new Question(service, asked).finding(peers));
      return;
    }
    Question q = new Question(service, asked);
    questions.put(stream, q);
    send(stream, q);
    environment.after(REPEAT_NANOS, () -> send(stream, q));
    environment.after(SECOND_REPEAT_NANOS, () -> send(stream, q));
    long until = environment.now() + MAX_WAIT_NANOS;
    environment.after(MAX_WAIT_NANOS, () -> waitEnded(stream, q, until));
  }

  /** Asks the peers that have not answered. */
  private void send(StreamId stream, Question q) {
    if (questions.get(stream) == q) {
      ImmutableList.copyOf(q.unanswered)
          .forEach(p -> sender.accept(p, new StreamMessage.Asked(stream, q.service)));
    }
  }

  /** Handles a message of a peer. */
  void received(PeerTable.Peer from, StreamMessage message) {
    switch (message) {
      case StreamMessage.Told m ->
          environment.submit(new RelayEvent.StreamRecorded(environment.now(), m.stream()));
      case StreamMessage.ToStore m -> storage.accept(m.stream());
      case StreamMessage.Asked m -> {
        if (router != null) {
          asked(from, m);
        }
      }
      case StreamMessage.Answered m -> answered(from, m);
    }
  }

  /** Answers a peer; if the answer depends on the list, after the store had time to confirm it. */
  private void asked(PeerTable.Peer from, StreamMessage.Asked m) {
    long now = environment.now();
    StreamLookup known = router.streamLookup(now, m.stream(), m.service());
    boolean dependsOnList = known.onlyBuild().isPresent() && !router.isListFresh(now);
    boolean lacksHistory =
        !(known instanceof StreamLookup.Known) && router.lacksHistory(now, m.service());
    if (dependsOnList || lacksHistory) {
      environment.submit(new RelayEvent.ListDoubted(now));
      environment.after(CONFIRMATION_NANOS, () -> answerOrWait(from, m));
    } else {
      answer(from, m);
    }
  }

  private void answerOrWait(PeerTable.Peer from, StreamMessage.Asked m) {
    if (router.lacksHistory(environment.now(), m.service())) {
      environment.after(HISTORY_NANOS, () -> answer(from, m));
    } else {
      answer(from, m);
    }
  }

  private void answer(PeerTable.Peer to, StreamMessage.Asked m) {
    long now = environment.now();
    StreamLookup known = router.streamLookup(now, m.stream(), m.service());
    sender.accept(to, new StreamMessage.Answered(m.stream(), known, router.isListFresh(now)));
  }

  private void answered(PeerTable.Peer from, StreamMessage.Answered m) {
    Question q = questions.get(m.stream());
    if (q == null || !q.unanswered.remove(from)) {
      return;
    }
    q.add(from.name, m);
    if (m.result() instanceof StreamLookup.Known || q.unanswered.isEmpty()) {
      finish(m.stream(), q);
    }
  }

  /**
   * Handles the end of a wait. If it comes late, the event loop was held up, and answers may be
   * there that it has not read: these are awaited.
   */
  private void waitEnded(StreamId stream, Question q, long until) {
    if (environment.now() - until > MAX_LATE_NANOS) {
      environment.after(EXTENSION_NANOS, () -> finish(stream, q));
    } else {
      finish(stream, q);
    }
  }

  private void finish(StreamId stream, Question q) {
    if (questions.remove(stream, q)) {
      submit(stream, q.finding(peers));
    }
  }

  private void submit(StreamId stream, StreamFinding finding) {
    environment.submit(new RelayEvent.StreamFound(environment.now(), stream, finding));
  }
}
