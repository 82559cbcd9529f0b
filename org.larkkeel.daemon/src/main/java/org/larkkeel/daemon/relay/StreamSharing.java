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
import java.util.Set;
import java.util.function.BiConsumer;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayRouter;
import org.larkkeel.relay.ServiceName;
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
  private static final long REPEAT_NANOS = 40 * NANOS_PER_MILLI;

  /** The time after which the answers that were received decide. */
  private static final long MAX_WAIT_NANOS = 120 * NANOS_PER_MILLI;

  private final PeerTable peers;
  private final LoadSharing.Environment environment;
  private final BiConsumer<PeerTable.Peer, StreamMessage> sender;
  private final Map<StreamId, Question> questions = new HashMap<>();
  private RelayRouter router;

  /** A question in progress. */
  private static final class Question {
    final ServiceName service;
    final Set<PeerTable.Peer> unanswered;
    StreamLookup best;

    Question(ServiceName service, List<PeerTable.Peer> asked) {
      this.service = service;
      this.unanswered = new HashSet<>(asked);
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

  /** Executes an effect of the router. */
  void execute(RelayEffect.OfStream effect) {
    switch (effect) {
      case RelayEffect.RecordStream e ->
          keepers(e.stream().stream(), KEEPERS)
              .forEach(p -> sender.accept(p, new StreamMessage.Told(e.stream())));
      case RelayEffect.FindStream e -> ask(e.stream(), e.service());
    }
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
      submit(stream, router.streamLookup(environment.now(), stream, service));
      return;
    }
    Question q = new Question(service, asked);
    questions.put(stream, q);
    send(stream, q);
    environment.after(REPEAT_NANOS, () -> send(stream, q));
    environment.after(MAX_WAIT_NANOS, () -> finish(stream, q));
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
      case StreamMessage.Asked m -> {
        if (router != null) {
          StreamLookup known = router.streamLookup(environment.now(), m.stream(), m.service());
          sender.accept(from, new StreamMessage.Answered(m.stream(), known));
        }
      }
      case StreamMessage.Answered m -> answered(from, m);
    }
  }

  private void answered(PeerTable.Peer from, StreamMessage.Answered m) {
    Question q = questions.get(m.stream());
    if (q == null || !q.unanswered.remove(from)) {
      return;
    }
    if (q.best == null || weight(m.result()) > weight(q.best)) {
      q.best = m.result();
    }
    if (q.best instanceof StreamLookup.Known || q.unanswered.isEmpty()) {
      finish(m.stream(), q);
    }
  }

  /**
   * Returns the weight of an answer: a node that knows the stream decides, then one that knows of
   * several builds, then one that has long known only one.
   */
  private static int weight(StreamLookup result) {
    return switch (result) {
      case StreamLookup.Known k -> 3;
      case StreamLookup.Unknown u -> 2;
      case StreamLookup.Sole s -> 1;
      case StreamLookup.Listed l -> 0;
    };
  }

  /** Ends a question; without any answer the router decides by itself. */
  private void finish(StreamId stream, Question q) {
    if (questions.remove(stream, q)) {
      submit(
          stream,
          q.best != null ? q.best : router.streamLookup(environment.now(), stream, q.service));
    }
  }

  private void submit(StreamId stream, StreamLookup result) {
    environment.submit(new RelayEvent.StreamFound(environment.now(), stream, result));
  }
}
