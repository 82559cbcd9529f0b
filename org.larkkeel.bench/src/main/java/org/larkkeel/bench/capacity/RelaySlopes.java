/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.capacity;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.larkkeel.lib.AttemptId;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.RuleName;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.quota.QuotaTolerance;
import org.larkkeel.relay.AnswerGrade;
import org.larkkeel.relay.CallKind;
import org.larkkeel.relay.CallSize;
import org.larkkeel.relay.PromptKey;
import org.larkkeel.relay.RelayCall;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayRouter;
import org.larkkeel.relay.RelayRule;
import org.larkkeel.relay.RelaySettings;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.RequestIdentity;
import org.larkkeel.relay.ServiceBounds;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;

/**
 * Measures how the processor time of a relay node's reducer grows with the number of upstreams: to
 * register all upstreams, to apply a change of one upstream, and to handle a call. Each figure
 * includes the lookups that a node makes after each event.
 *
 * <p>Not safe for use by several threads.
 */
final class RelaySlopes {
  private static final int[] UPSTREAMS = {25, 100, 300, 1_000};
  private static final int WARM_UP = 5_000;
  private static final int MEASURED = 10_000;
  private static final int BATCH_SIZE = 50;

  /** The number of repetitions; only the last one is measured, the others warm up. */
  private static final int REGISTRATIONS = 20;

  private static final long CALL_INTERVAL_NANOS = 1_000_000;
  private static final long MEMORY = 100_000;
  private static final int PROMPT_TOKENS = 3_000;
  private static final int OUTPUT_TOKENS = 600;
  private static final double NANOS_PER_MICRO = 1e3;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final DataCentreName DATA_CENTRE = new DataCentreName("dc-1");
  private static final ServiceName PLAIN = new ServiceName("plain");
  private static final ServiceName MODEL = new ServiceName("model");
  private static final String HOST = "a.example";
  private static final String PLAIN_PATH = "/plain/";
  private static final String STREAM_PATH = "/stream/";

  private final List<Sample> samples = new ArrayList<>();

  /** A router and its attempts in flight. */
  private static final class Driver {
    private final RelayRouter router =
        new RelayRouter(
            new RelaySettings(
                DATA_CENTRE,
                0.2,
                20,
                10_000 * CALL_INTERVAL_NANOS,
                1,
                512,
                1,
                7,
                QuotaTolerance.NONE));
    private final List<AttemptId> sent = new ArrayList<>();
    private long now = 1_000_000 * CALL_INTERVAL_NANOS;
    private long lastCall;
    private int lookupResults;

    Driver() {
      apply(
          new RelayEvent.ConfigurationRead(
              now,
              new RelayConfiguration(
                  1,
                  ImmutableList.of(
                      rule(PLAIN, PLAIN_PATH, CallKind.IDEMPOTENT),
                      rule(MODEL, STREAM_PATH, CallKind.STREAM)),
                  ImmutableMap.of(
                      PLAIN,
                      new ServiceBounds(1_000, 0, 0, false),
                      MODEL,
                      new ServiceBounds(1_000, MEMORY, 9, false)),
                  1 << 20)));
    }

    private static RelayRule rule(ServiceName service, String path, CallKind kind) {
      return new RelayRule(
          new RuleName(service.value()),
          HOST,
          path,
          ImmutableList.of(new RelayRule.Share(service, 1)),
          kind,
          14_000,
          1,
          900,
          300,
          1,
          false);
    }

    void apply(RelayEvent event) {
      router.apply(
          event,
          e -> {
            if (e instanceof RelayEffect.Send s) {
              sent.add(s.attempt());
            }
          });
      lookupResults +=
          router.loads().size()
              + router.losingHandles(now).size()
              + router.reservationRequests(now).size();
    }

    void register(int from, int to, boolean leaving) {
      ImmutableMap.Builder<UpstreamName, RelayUpstream> registered = ImmutableMap.builder();
      for (int i = from; i < to; i++) {
        UpstreamName id = new UpstreamName("i-%05d".formatted(i));
        boolean plain = i % 2 == 0;
        Stage run = i % 3 == 0 ? Stage.PREFILL : Stage.DECODE;
        registered.put(
            id,
            new RelayUpstream(
                UpstreamIncarnation.unknown(id),
                plain ? PLAIN : MODEL,
                "10.0.0.1:80",
                DATA_CENTRE,
                64,
                plain ? Stage.WHOLE : run,
                leaving));
      }
      apply(new RelayEvent.UpstreamsChanged(now, registered.buildOrThrow(), ImmutableSet.of()));
    }

    /** Runs one call from its arrival to its answer. The prompt of a stream is prefilled first. */
    void call(String path, CallSize size) {
      now += CALL_INTERVAL_NANOS;
      RequestId id = new RequestId(++lastCall);
      RequestIdentity identity = new RequestIdentity("POST", HOST, path, "", new byte[0]);
      apply(
          new RelayEvent.Arrived(
              now,
              new RelayCall(
                  id,
                  "c",
                  HOST,
                  path,
                  0,
                  size,
                  PromptKey.NONE,
                  false,
                  identity,
                  Optional.empty())));
      if (size.prompt() > 0) {
        apply(new RelayEvent.PromptRead(now, sent.removeLast(), "h"));
        apply(new RelayEvent.Began(now, sent.getLast()));
      }
      apply(new RelayEvent.Answered(now, sent.removeLast(), AnswerGrade.GOOD));
      apply(new RelayEvent.Ticked(now));
    }
  }

  List<Sample> measure() {
    for (int upstreams : UPSTREAMS) {
      registration(upstreams);
      change(upstreams);
      call("relay.call", upstreams, PLAIN_PATH, CallSize.NONE);
      call(
          "relay.stream",
          upstreams,
          STREAM_PATH,
          new CallSize(PROMPT_TOKENS, 2 * OUTPUT_TOKENS, OUTPUT_TOKENS));
    }
    return samples;
  }

  private void add(String series, int upstreams, double value, String unit) {
    samples.add(new Sample(series, "upstreams", upstreams, value, unit));
  }

  private static Driver newDriver(int upstreams) {
    Driver driver = new Driver();
    driver.register(0, upstreams, false);
    return driver;
  }

  private void registration(int upstreams) {
    long nanos = 0;
    for (int i = 0; i < REGISTRATIONS; i++) {
      Driver driver = new Driver();
      long start = Meter.threadNanos();
      for (int from = 0; from < upstreams; from += BATCH_SIZE) {
        driver.register(from, Math.min(upstreams, from + BATCH_SIZE), false);
      }
      nanos = Meter.threadNanos() - start;
    }
    add("relay.register", upstreams, nanos / NANOS_PER_MILLI, "ms");
  }

  private void change(int upstreams) {
    Driver driver = newDriver(upstreams);
    change(driver, WARM_UP);
    long start = Meter.threadNanos();
    change(driver, MEASURED);
    add(
        "relay.change",
        upstreams,
        (Meter.threadNanos() - start) / NANOS_PER_MICRO / MEASURED,
        "us");
  }

  private static void change(Driver driver, int times) {
    for (int i = 0; i < times; i++) {
      driver.register(1, 2, i % 2 == 0);
    }
  }

  private void call(String series, int upstreams, String path, CallSize size) {
    Driver driver = newDriver(upstreams);
    calls(driver, path, size, WARM_UP);
    long start = Meter.threadNanos();
    calls(driver, path, size, MEASURED);
    add(series, upstreams, (Meter.threadNanos() - start) / NANOS_PER_MICRO / MEASURED, "us");
  }

  private static void calls(Driver driver, String path, CallSize size, int times) {
    for (int i = 0; i < times; i++) {
      driver.call(path, size);
    }
    // Reading the lookup results keeps the compiler from removing the lookups.
    if (driver.lookupResults < 0) {
      throw new IllegalStateException("negative number of lookup results");
    }
  }
}
