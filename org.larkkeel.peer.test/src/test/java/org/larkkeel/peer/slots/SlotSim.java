/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.slots;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.peer.membership.NodeId;

/** Simulates holders and owners of one key in virtual time, over a network with seeded faults. */
final class SlotSim {
  static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final String KEY = "u1";

  private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
  private final Random random;
  private final SlotSettings settings;
  final List<SlotOwner> owners = new ArrayList<>();
  final List<Node> nodes = new ArrayList<>();
  long minRunNanos = 20 * MILLI;
  long maxRunNanos = 100 * MILLI;
  double lossProbability;
  double duplicationProbability;
  long now;
  long messages;
  long order;

  SlotSim(SlotSettings settings, int nodeCount, int ownerCount, int capacity, long seed) {
    this.settings = settings;
    this.random = new Random(seed);
    for (int i = 0; i < ownerCount; i++) {
      SlotOwner owner = new SlotOwner(KEY, settings, now);
      owner.on(new SlotEvent.Capacity(now, capacity, 0));
      owners.add(owner);
    }
    for (int i = 0; i < nodeCount; i++) {
      nodes.add(new Node(i));
    }
  }

  /** A node with its slot holder and requests. */
  final class Node {
    final NodeId id;
    final SlotHolder holder = new SlotHolder(KEY, settings, now);
    final Map<Long, Long> finishAt = new HashMap<>();
    final Set<Long> waiting = new HashSet<>();
    int owner;
    int acquired;
    int timedOut;
    boolean dead;

    Node(int number) {
      this.id = new NodeId(new HostName("host-" + number), new Incarnation(1));
    }

    void acquire(long request, int priority, long timeoutNanos) {
      waiting.add(request);
      apply(holder.acquire(now, request, priority, now + timeoutNanos));
    }

    void setOwner(int next) {
      owner = next;
      holder.ownerChanged(now);
    }

    private void apply(List<SlotHolder.Outcome> outcomes) {
      for (SlotHolder.Outcome outcome : outcomes) {
        waiting.remove(outcome.id());
        if (outcome.result() == SlotHolder.Result.ACQUIRED) {
          acquired++;
          finishAt.put(
              outcome.id(),
              now + minRunNanos + (long) (random.nextDouble() * (maxRunNanos - minRunNanos)));
        } else {
          timedOut++;
        }
      }
    }

    private void step() {
      List<Long> done = new ArrayList<>();
      finishAt.forEach(
          (request, at) -> {
            if (at <= now) {
              done.add(request);
            }
          });
      for (long request : done) {
        finishAt.remove(request);
        apply(holder.release(now, request));
      }
      apply(holder.tick(now));
    }

    private void flush() {
      Optional<SlotReport> report = holder.report(now);
      report.ifPresent(sent -> send(() -> deliverReport(this, owner, sent)));
    }
  }

  private record Scheduled(long at, long order, Runnable action) implements Comparable<Scheduled> {
    @Override
    public int compareTo(Scheduled other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private void deliverReport(Node node, int owner, SlotReport report) {
    sendGrants(owner, owners.get(owner).on(new SlotEvent.Reported(now, node.id, report)));
  }

  private void sendGrants(int owner, List<SlotOwner.AddressedGrant> answers) {
    for (SlotOwner.AddressedGrant answer : answers) {
      for (Node node : nodes) {
        if (node.id.equals(answer.holder()) && !node.dead) {
          send(
              () -> {
                if (node.owner == owner) {
                  node.apply(node.holder.onGrant(now, answer.grant()));
                }
              });
        }
      }
    }
  }

  private void send(Runnable delivery) {
    messages++;
    int copies = random.nextDouble() < duplicationProbability ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      if (random.nextDouble() >= lossProbability) {
        long delay = MILLI + (long) (random.nextDouble() * 4 * MILLI);
        queue.add(new Scheduled(now + delay, order++, delivery));
      }
    }
  }

  /** Advances the time in steps of 1 ms, with a flush every {@code flushEvery} steps. */
  void run(long durationNanos, int flushEvery, Runnable eachStep) {
    long end = now + durationNanos;
    for (long step = 0; now < end; step++) {
      now += MILLI;
      while (!queue.isEmpty() && queue.peek().at() <= now) {
        queue.poll().action().run();
      }
      for (int i = 0; i < owners.size(); i++) {
        if (owners.get(i).nextDeadline() <= now) {
          sendGrants(i, owners.get(i).on(new SlotEvent.Tick(now)));
        }
      }
      for (Node node : nodes) {
        if (!node.dead) {
          node.step();
          if (step % flushEvery == 0) {
            node.flush();
          }
        }
      }
      eachStep.run();
    }
  }

  int inUse() {
    return nodes.stream().filter(node -> !node.dead).mapToInt(node -> node.holder.used()).sum();
  }

  int held() {
    return nodes.stream().filter(node -> !node.dead).mapToInt(node -> node.holder.held()).sum();
  }
}
