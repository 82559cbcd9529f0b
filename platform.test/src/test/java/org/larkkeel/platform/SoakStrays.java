/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import org.larkkeel.http.Json;

/**
 * Adds invalid entries under names that no runner has had. Their address, if any, is that of a
 * server that must not get any request.
 *
 * <p>Invariant: the names sort before, between and after those of runners. Safe for use by several
 * threads.
 */
final class SoakStrays {
  /** Prefixes that sort around the names of runners, which are "i-" and a number. */
  private static final List<String> PREFIXES = List.of("a-", "i-3-", "z-");

  private static final List<String> STAGES = List.of("", "prefill", "decode");

  private final StoreStandin store;
  private final RawServer trap;
  private int last;

  SoakStrays(String host, SoakLedger ledger, StoreStandin store) {
    this.store = store;
    this.trap =
        new RawServer(
            host,
            (r, out, socket) -> {
              ledger.violation("stray", r.header("X-Expect-Instance") + " got " + r.target());
              throw new IOException("no runner has this address");
            });
  }

  /** Adds an entry, and returns its name. */
  synchronized String add(InvalidEntry shape, SplittableRandom random) {
    final String name = PREFIXES.get(random.nextInt(PREFIXES.size())) + ++last;
    String stage = STAGES.get(random.nextInt(STAGES.size()));
    ObjectNode entry = Json.object();
    entry.put("service", stage.isEmpty() ? "app" : "model").put("address", trap.address());
    entry.put("zone", "dc-1").put("slots", 8).put("state", "ready").put("stage", stage);
    entry.put("born", System.currentTimeMillis()).put("sequence", 0);
    store.put("servers", name, shape.applyTo(entry));
    return name;
  }

  void remove(String name) {
    store.delete("servers", name);
  }
}
