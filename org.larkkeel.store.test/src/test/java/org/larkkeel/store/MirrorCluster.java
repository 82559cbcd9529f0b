/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** A cluster whose nodes each mirror the same collection of one store, in virtual time. */
final class MirrorCluster {
  static final String COLLECTION = "things";

  final ManualScheduler time = new ManualScheduler();
  final InMemoryStore store = new InMemoryStore(time);
  final List<ManualScheduler.Process> processes = new ArrayList<>();
  final List<InMemoryObjectApi> apis = new ArrayList<>();
  final List<CollectionMirror> mirrors = new ArrayList<>();

  /**
   * Starts all nodes.
   *
   * @param nodes the number of nodes
   * @param watchLag the additional delay of watch events
   * @param random the source of randomness
   */
  MirrorCluster(int nodes, Duration watchLag, SplittableRandom random) {
    for (int rank = 0; rank < nodes; rank++) {
      start(nodes, rank, watchLag, random);
    }
  }

  private void start(int nodes, int rank, Duration watchLag, SplittableRandom random) {
    ManualScheduler.Process process = time.newProcess();
    InMemoryObjectApi api = new InMemoryObjectApi(store, process).setWatchLag(watchLag);
    api.endWatchesWithEvents();
    CollectionMirror mirror =
        new CollectionMirror(
            api,
            COLLECTION,
            process,
            new Backoff(Duration.ofMillis(250), Duration.ofMillis(1_200), random.split()),
            WatchTimes.spread(Duration.ofSeconds(15), random.split(), () -> nodes, () -> rank),
            change -> {});
    mirror.start();
    processes.add(process);
    apis.add(api);
    mirrors.add(mirror);
  }

  /**
   * Makes each node report its newest change to all nodes periodically, starting at a random time
   * within the first period.
   */
  void reportPeriodically(Duration period, SplittableRandom random) {
    for (int i = 0; i < mirrors.size(); i++) {
      ManualScheduler.Process process = processes.get(i);
      CollectionMirror mirror = mirrors.get(i);
      Duration first = Duration.ofMillis(random.nextLong(period.toMillis()));
      process.schedule(first, () -> report(process, mirror, period));
    }
  }

  private void report(ManualScheduler.Process process, CollectionMirror mirror, Duration period) {
    mirrors.forEach(m -> m.changeSeenByPeer(mirror.changeVersion()));
    process.schedule(period, () -> report(process, mirror, period));
  }

  static ObjectKey key(String name) {
    return new ObjectKey(COLLECTION, name);
  }

  void create(String name) {
    store.create(key(name), "thing", JsonNodeFactory.instance.objectNode());
  }
}
