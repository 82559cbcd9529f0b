/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the extensions that are written, read and malformed. Thread-safe.
 *
 * <p>Encoding is stateless, so the counts are those of the process.
 */
final class ExtensionCounts {
  /** The counts of this process. */
  static final ExtensionCounts PROCESS = new ExtensionCounts();

  private static final String METER = "larkkeel.relay.extensions";

  private final Map<ExtensionId, Counts> counts = new EnumMap<>(ExtensionId.class);
  private final LongAdder malformedTrailers = new LongAdder();

  private record Counts(LongAdder written, LongAdder read, LongAdder malformed) {}

  private ExtensionCounts() {
    for (ExtensionId id : ExtensionId.values()) {
      counts.put(id, new Counts(new LongAdder(), new LongAdder(), new LongAdder()));
    }
  }

  /** Counts an extension in an encoded message. */
  void written(ExtensionId id) {
    counts.get(id).written().increment();
  }

  /** Counts an extension that was read and parsed. */
  void read(ExtensionId id) {
    counts.get(id).read().increment();
  }

  /** Counts an extension whose bytes do not parse. */
  void malformed(ExtensionId id) {
    counts.get(id).malformed().increment();
  }

  /** Counts a message whose extensions cannot be told apart. */
  void malformedTrailer() {
    malformedTrailers.increment();
  }

  /** Returns the number of extensions that did not parse. */
  long malformedCount(ExtensionId id) {
    return counts.get(id).malformed().sum();
  }

  /** Returns the number of messages whose extensions cannot be told apart. */
  long malformedTrailerCount() {
    return malformedTrailers.sum();
  }

  /** Registers a counter for each extension and result. */
  void register(MeterRegistry registry) {
    counts.forEach(
        (id, c) -> {
          register(registry, id.slug(), "written", c.written());
          register(registry, id.slug(), "read", c.read());
          register(registry, id.slug(), "malformed", c.malformed());
        });
    register(registry, "all", "malformed", malformedTrailers);
  }

  private static void register(
      MeterRegistry registry, String extension, String result, LongAdder count) {
    FunctionCounter.builder(METER, count, LongAdder::sum)
        .tag("extension", extension)
        .tag("result", result)
        .register(registry);
  }
}
