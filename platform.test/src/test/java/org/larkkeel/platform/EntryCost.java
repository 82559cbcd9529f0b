/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;
import org.larkkeel.store.StoredObject;

/**
 * Measures the time to read the entries of 600 upstreams with the strict reader and with a lenient
 * one that converts values of any type. Prints the median times over all rounds and the median of
 * the ratio per round. A program, not a test.
 */
final class EntryCost {
  private static final int ENTRIES = 600;
  private static final int WARM_UP = 3_000;
  private static final int ROUNDS = 4_000;

  private EntryCost() {}

  /** Runs the measurement and prints the result to standard output. */
  public static void main(String[] args) {
    List<StoredObject> entries = new ArrayList<>();
    for (int i = 0; i < ENTRIES; i++) {
      ObjectNode spec = Entries.valid().put("address", "10.1." + i / 250 + "." + i % 250 + ":8080");
      spec.put("born", 1_790_000_000_000L + i).put("stage", i % 2 == 0 ? "prefill" : "decode");
      entries.add(Entries.object("i-" + Integer.toHexString(0x7f3a91c2 + i), spec));
    }
    double[] strict = new double[ROUNDS];
    double[] converting = new double[ROUNDS];
    for (int i = -WARM_UP; i < ROUNDS; i++) {
      boolean isStrictFirst = i % 2 == 0;
      double first =
          measureMicros(
              entries, isStrictFirst ? PlatformUpstreams::read : EntryCost::readLeniently);
      double second =
          measureMicros(
              entries, isStrictFirst ? EntryCost::readLeniently : PlatformUpstreams::read);
      if (i >= 0) {
        strict[i] = isStrictFirst ? first : second;
        converting[i] = isStrictFirst ? second : first;
      }
    }
    double[] ratios = new double[ROUNDS];
    Arrays.setAll(ratios, i -> strict[i] / converting[i]);
    System.out.printf(
        "entries=%d rounds=%d strict_us=%.1f converting_us=%.1f ratio=%.3f%n",
        ENTRIES, ROUNDS, median(strict), median(converting), median(ratios));
  }

  private static double measureMicros(
      List<StoredObject> entries, Function<StoredObject, Object> reader) {
    long startNanos = System.nanoTime();
    int sum = 0;
    for (StoredObject o : entries) {
      sum += System.identityHashCode(reader.apply(o)) & 1;
    }
    double micros = (System.nanoTime() - startNanos) / 1e3;
    if (sum < 0) {
      throw new AssertionError();
    }
    return micros;
  }

  private static double median(double[] values) {
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    return sorted[sorted.length / 2];
  }

  private static Optional<RelayUpstream> readLeniently(StoredObject object) {
    JsonNode spec = object.spec();
    String address = spec.path(PlatformNames.ADDRESS).asText();
    UpstreamAddress.parse(address);
    return Optional.of(
        new RelayUpstream(
            new UpstreamIncarnation(
                new UpstreamName(object.key().name()),
                new Incarnation(spec.path(PlatformNames.BORN).asLong())),
            new ServiceName(spec.path(PlatformNames.SERVICE).asText()),
            address,
            new DataCentreName(spec.path(PlatformNames.ZONE).asText()),
            Math.max(1, spec.path(PlatformNames.SLOTS).asInt(1)),
            stage(spec),
            spec.path(PlatformNames.STATE).asText().equals(PlatformNames.DRAINING)));
  }

  private static Stage stage(JsonNode spec) {
    return switch (spec.path(PlatformNames.STAGE).asText()) {
      case PlatformNames.PREFILL -> Stage.PREFILL;
      case PlatformNames.DECODE -> Stage.DECODE;
      default -> Stage.WHOLE;
    };
  }
}
