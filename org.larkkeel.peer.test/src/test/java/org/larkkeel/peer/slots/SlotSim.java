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

/** Holders and owners of one key in virtual time, over a network with seeded faults. */
final class SlotSim {
  static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final String KEY = "u1";

  private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
  private final Random random;
  private final SlotSettings settings;
  final List<SlotOwner> owners = new ArrayList<>();
  final List<Node> nodes = new ArrayList<>();
  long shortest = 20 * MILLI;
  long longest = 100 * MILLI;
  double loss;
  double duplication;
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

  /** One node with its requests. */
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

    void acquire(long request, int priority, long patience) {
      waiting.add(request);
      take(holder.acquire(now, request, priority, now + patience));
    }

    void setOwner(int next) {
      owner = next;
      holder.ownerChanged(now);
    }

    private void take(List<SlotHolder.Outcome> outcomes) {
      for (SlotHolder.Outcome outcome : outcomes) {
        waiting.remove(outcome.id());
        if (outcome.result() == SlotHolder.Result.ACQUIRED) {
          acquired++;
          finishAt.put(
              outcome.id(), now + shortest + (long) (random.nextDouble() * (longest - shortest)));
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
        take(holder.release(now, request));
      }
      take(holder.tick(now));
    }

    private void flush() {
      Optional<SlotReport> report = holder.report(now);
      report.ifPresent(sent -> send(() -> reported(this, owner, sent)));
    }
  }

  private record Scheduled(long at, long order, Runnable action) implements Comparable<Scheduled> {
    @Override
    public int compareTo(Scheduled other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private void reported(Node node, int owner, SlotReport report) {
    answer(owner, owners.get(owner).on(new SlotEvent.Reported(now, node.id, report)));
  }

  private void answer(int owner, List<SlotOwner.Answer> answers) {
    for (SlotOwner.Answer answer : answers) {
      for (Node node : nodes) {
        if (node.id.equals(answer.holder()) && !node.dead) {
          send(
              () -> {
                if (node.owner == owner) {
                  node.take(node.holder.granted(now, answer.grant()));
                }
              });
        }
      }
    }
  }

  private void send(Runnable delivery) {
    messages++;
    int copies = random.nextDouble() < duplication ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      if (random.nextDouble() >= loss) {
        long delay = MILLI + (long) (random.nextDouble() * 4 * MILLI);
        queue.add(new Scheduled(now + delay, order++, delivery));
      }
    }
  }

  /** Runs in steps of a millisecond, with a flush each given number of steps. */
  void run(long time, int flushEvery, Runnable eachStep) {
    long end = now + time;
    for (long step = 0; now < end; step++) {
      now += MILLI;
      while (!queue.isEmpty() && queue.peek().at() <= now) {
        queue.poll().action().run();
      }
      for (int i = 0; i < owners.size(); i++) {
        if (owners.get(i).nextDeadline() <= now) {
          answer(i, owners.get(i).on(new SlotEvent.Tick(now)));
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
