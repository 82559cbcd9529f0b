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
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;
import org.larkkeel.store.StoredObject;

/**
 * What reading the entries of 600 upstreams costs, side by side with a reader that converts
 * whatever it finds. Prints the medians of all rounds and of the ratio in a round; a program, not a
 * test.
 */
final class EntryCost {
  private static final int ENTRIES = 600;
  private static final int WARM_UP = 3_000;
  private static final int ROUNDS = 4_000;

  private EntryCost() {}

  /** Runs it; the result is printed to standard output. */
  public static void main(String[] args) {
    List<StoredObject> entries = new ArrayList<>();
    for (int i = 0; i < ENTRIES; i++) {
      ObjectNode spec = Entries.good().put("address", "10.1." + i / 250 + "." + i % 250 + ":8080");
      spec.put("born", 1_790_000_000_000L + i).put("stage", i % 2 == 0 ? "prefill" : "decode");
      entries.add(Entries.object("i-" + Integer.toHexString(0x7f3a91c2 + i), spec));
    }
    double[] strict = new double[ROUNDS];
    double[] converting = new double[ROUNDS];
    for (int i = -WARM_UP; i < ROUNDS; i++) {
      boolean isStrictFirst = i % 2 == 0;
      double first = micros(entries, isStrictFirst ? PlatformUpstreams::read : EntryCost::convert);
      double second = micros(entries, isStrictFirst ? EntryCost::convert : PlatformUpstreams::read);
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

  private static double micros(List<StoredObject> entries, Function<StoredObject, Object> reader) {
    long begun = System.nanoTime();
    int sum = 0;
    for (StoredObject o : entries) {
      sum += System.identityHashCode(reader.apply(o)) & 1;
    }
    double micros = (System.nanoTime() - begun) / 1e3;
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

  private static Optional<RelayUpstream> convert(StoredObject object) {
    JsonNode spec = object.spec();
    String address = spec.path(PlatformNames.ADDRESS).asText();
    UpstreamAddress.parse(address);
    return Optional.of(
        new RelayUpstream(
            new UpstreamLife(
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
