/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * Worlds with upstreams of several builds, and answers of other nodes, for tests of streams.
 *
 * <p>Stateless.
 */
final class StreamBuildsRig {
  static final CallSize SIZE = new CallSize(300, 1_000, 600);
  static final int STREAMS = 10;
  static final BuildName OLD = new BuildName("v1");
  static final BuildName NEW = new BuildName("v1.1");

  private StreamBuildsRig() {}

  /** Returns a world with one old engine. */
  static RelayWorld world() {
    RelayWorld w = new RelayWorld();
    w.configure(1, RelayWorld.rules());
    w.add("old-1", RelayWorld.MODEL, Stage.DECODE, OLD);
    w.applyDiscoveryList();
    return w;
  }

  static StreamFinding finding(StreamLookup result, ListWitness witness) {
    return new StreamFinding(Optional.of(result), witness, ImmutableList.of());
  }

  static StreamFinding known(BuildName build) {
    return finding(new StreamLookup.Known(build), ListWitness.NONE);
  }

  /** Adds many new engines. */
  static void addNew(RelayWorld w) {
    for (int i = 1; i <= 5; i++) {
      w.add("new-" + i, RelayWorld.MODEL, Stage.DECODE, NEW);
    }
    w.applyDiscoveryList();
  }
}
