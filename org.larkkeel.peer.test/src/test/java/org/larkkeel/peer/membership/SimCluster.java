/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.peer.transport.DatagramCodec;
import org.larkkeel.peer.transport.DatagramKey;

/**
 * A simulated cluster: memberships that exchange messages in virtual time over a network with
 * seeded faults. Every message passes through the codec, so that the byte counts are those on the
 * wire. Times are nanoseconds. Not safe for use by several threads.
 */
final class SimCluster {
  static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final int IP_AND_UDP_HEADER_BYTES = 28;
  private static final int PORT = 7400;
  private static final int[] DATA_CENTRES = {0, 1, 2};

  private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
  private final Map<NodeAddress, Node> byAddress = new HashMap<>();
  private final Random random;
  private final MembershipSettings settings;
  private final DatagramCodec codec =
      new DatagramCodec(
          List.of(new DatagramKey(1, "0123456789abcdef".getBytes(StandardCharsets.UTF_8))));
  final List<Node> nodes = new ArrayList<>();
  final Set<HostName> partitioned = new HashSet<>();
  double loss;
  double duplication;
  long now;
  private long order;

  SimCluster(MembershipSettings settings, long seed) {
    this.settings = settings;
    this.random = new Random(seed);
  }

  /** One node with its membership and the effects that it produced. */
  final class Node {
    final Member initialRecord;
    final Membership membership;
    final List<Change> changes = new ArrayList<>();
    final Map<String, LoadRecord> loads = new HashMap<>();
    final List<Effect.NewerRevision> revisions = new ArrayList<>();
    boolean killed;
    boolean superseded;
    long pausedUntil;
    long bytesSent;
    long bytesReceived;
    long messagesSent;
    private final List<Runnable> delayed = new ArrayList<>();

    Node(Member initialRecord, Membership membership) {
      this.initialRecord = initialRecord;
      this.membership = membership;
    }

    HostName host() {
      return initialRecord.id().host();
    }

    void on(Event event) {
      membership.on(event).forEach(effect -> execute(this, effect));
    }

    MemberState stateOf(Node other) {
      for (Member member : membership.members()) {
        if (member.id().equals(other.initialRecord.id())) {
          return member.state();
        }
      }
      return null;
    }

    private void whenRunning(Runnable action) {
      if (killed) {
        return;
      }
      if (pausedUntil > now) {
        delayed.add(action);
        return;
      }
      action.run();
    }
  }

  /** A change of a member, with the time of its effect. */
  record Change(long at, Member member, boolean leaving) {}

  private record Scheduled(long at, long order, Runnable action) implements Comparable<Scheduled> {
    @Override
    public int compareTo(Scheduled other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  void start(int count) {
    for (int i = 0; i < count; i++) {
      start("entry-host-" + i, 1);
    }
    listHosts(Set.of());
  }

  /** Starts a process on a host; a later process of the same host takes over its address. */
  Node start(String host, long incarnation) {
    return start(host, incarnation, Integer.parseInt(host.substring(host.lastIndexOf('-') + 1)));
  }

  /** Starts a process on a host, with the address of the given number. */
  Node start(String host, long incarnation, int number) {
    byte[] ip = {10, 0, (byte) (number >> 8), (byte) number};
    NodeAddress address = NodeAddress.of(ip, PORT);
    NodeId id = new NodeId(new HostName(host), new Incarnation(1_700_000_000_000L + incarnation));
    int dataCentre = DATA_CENTRES[number % DATA_CENTRES.length];
    Member self = Member.live(id, address, new DataCentreName("data-centre-" + dataCentre));
    Membership membership = new Membership(settings, self, List.of(), random.nextLong(), now);
    Node node = new Node(self, membership);
    nodes.add(node);
    byAddress.put(address, node);
    scheduleTick(node);
    return node;
  }

  void listHosts(Set<HostName> leaving) {
    List<HostEntry> entries = new ArrayList<>();
    for (Node node : byAddress.values()) {
      entries.add(
          new HostEntry(node.host(), node.initialRecord.address(), leaving.contains(node.host())));
    }
    for (Node node : nodes) {
      node.whenRunning(() -> node.on(new Event.HostList(now, entries)));
    }
  }

  void pause(Node node, long time) {
    node.pausedUntil = now + time;
    schedule(
        node.pausedUntil,
        () -> {
          List<Runnable> waiting = new ArrayList<>(node.delayed);
          node.delayed.clear();
          waiting.forEach(node::whenRunning);
        });
  }

  void run(long time) {
    long end = now + time;
    while (!queue.isEmpty() && queue.peek().at() <= end) {
      Scheduled next = queue.poll();
      now = next.at();
      next.action().run();
    }
    now = end;
  }

  private void schedule(long at, Runnable action) {
    queue.add(new Scheduled(at, order++, action));
  }

  private void scheduleTick(Node node) {
    long at = Math.max(node.membership.nextDeadline(), now + MILLI);
    schedule(
        at,
        () ->
            node.whenRunning(
                () -> {
                  node.on(new Event.Tick(now));
                  scheduleTick(node);
                }));
  }

  private void execute(Node node, Effect effect) {
    switch (effect) {
      case Effect.Send send -> send(node, send);
      case Effect.MemberChanged change ->
          node.changes.add(new Change(now, change.member(), change.leaving()));
      case Effect.NewerRevision newer -> node.revisions.add(newer);
      case Effect.LoadReceived learned -> node.loads.put(learned.load().key(), learned.load());
      case Effect.Superseded ignored -> node.superseded = true;
    }
  }

  private void send(Node from, Effect.Send send) {
    byte[] datagram = codec.encode(send.message());
    from.bytesSent += datagram.length + IP_AND_UDP_HEADER_BYTES;
    from.messagesSent++;
    int copies = random.nextDouble() < duplication ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      if (random.nextDouble() < loss) {
        continue;
      }
      long delay = MILLI / 2 + (long) (random.nextDouble() * 3 * MILLI);
      schedule(now + delay, () -> deliver(from, send.to(), datagram));
    }
  }

  private void deliver(Node from, NodeAddress to, byte[] datagram) {
    Node node = byAddress.get(to);
    boolean separated =
        node == null || partitioned.contains(node.host()) != partitioned.contains(from.host());
    if (separated) {
      return;
    }
    node.whenRunning(
        () -> {
          node.bytesReceived += datagram.length + IP_AND_UDP_HEADER_BYTES;
          Message message = codec.decode(datagram, datagram.length).orElseThrow();
          node.on(new Event.Received(now, from.initialRecord.address(), message));
        });
  }

  List<Node> running() {
    return nodes.stream().filter(node -> !node.killed).toList();
  }

  /** Returns whether all running nodes see each other as live. */
  boolean hasConverged() {
    List<Node> running = running();
    for (Node node : running) {
      long live =
          node.membership.members().stream()
              .filter(member -> member.state() == MemberState.LIVE)
              .count();
      if (live != running.size()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Runs until a condition holds and returns the time that it took; fails with the given message
   * after the limit.
   */
  long runUntil(java.util.function.BooleanSupplier condition, long limit, String message) {
    long start = now;
    while (!condition.getAsBoolean()) {
      if (now - start >= limit) {
        throw new AssertionError(message + " within " + limit / SECOND + " s");
      }
      run(50 * MILLI);
    }
    return now - start;
  }

  /** Returns the number of times that any node declared a running node dead. */
  long falseDeaths() {
    Set<NodeId> alive = new HashSet<>();
    running().forEach(node -> alive.add(node.initialRecord.id()));
    return nodes.stream()
        .flatMap(node -> node.changes.stream())
        .filter(change -> change.member().state() == MemberState.DEAD)
        .filter(change -> alive.contains(change.member().id()))
        .count();
  }
}
