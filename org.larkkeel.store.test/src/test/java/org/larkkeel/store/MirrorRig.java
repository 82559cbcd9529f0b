/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A mirror with its store and its client of the store.
 *
 * <p>Confined to one thread.
 */
final class MirrorRig {
  static final String COLLECTION = "things";

  final ManualScheduler time = new ManualScheduler();
  final InMemoryStore store = new InMemoryStore(time);
  final ManualScheduler.Process process = time.newProcess();
  final InMemoryObjectApi api = new InMemoryObjectApi(store, process);
  final CollectionMirror mirror;
  Set<String> names = Set.of();
  ObjectPage stale;

  MirrorRig(Duration watchLag) {
    api.setWatchLag(watchLag);
    mirror =
        new CollectionMirror(
            api,
            COLLECTION,
            process,
            new Backoff(Duration.ofMillis(100), Duration.ofSeconds(1), new SplittableRandom(1)),
            change -> recordNames());
    mirror.start();
    time.advance(Duration.ofSeconds(1));
  }

  static JsonNode spec(int value) {
    return JsonNodeFactory.instance.objectNode().put("start", value);
  }

  private void recordNames() {
    names = Set.copyOf(mirror.objects().keySet());
  }

  /** Starts a mirror of another node, with working watches. */
  CollectionMirror startPeerMirror() {
    ManualScheduler.Process other = time.newProcess();
    CollectionMirror m =
        new CollectionMirror(
            new InMemoryObjectApi(store, other).setWatchLag(Duration.ofMillis(1)),
            COLLECTION,
            other,
            new Backoff(Duration.ofMillis(100), Duration.ofSeconds(1), new SplittableRandom(2)),
            change -> {});
    m.start();
    return m;
  }

  StoreVersion version(String name) {
    return store.get(new ObjectKey(COLLECTION, name)).resourceVersion();
  }

  StoreVersion create(String name) {
    return store
        .create(new ObjectKey(COLLECTION, name), "thing", JsonNodeFactory.instance.objectNode())
        .resourceVersion();
  }
}
