/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.ConfigurationDocument;
import org.larkkeel.event.Event;
import org.larkkeel.lib.Revision;

/**
 * Measures how the heap and the processor time of the router's reducer grow with the number of
 * upstreams, workspaces and requests in progress.
 *
 * <p>Not safe for use by several threads: it reads the heap of the whole process.
 */
final class RouterSlopes {
  private static final int[] UPSTREAMS = {60, 600, 1_200, 2_400};
  private static final int[] WORKSPACES = {100, 1_000, 3_900};
  private static final int[] REQUESTS_IN_PROGRESS = {1_000, 5_000, 10_000};
  private static final int WARM_UP_REQUESTS = 20_000;
  private static final int MEASURED_REQUESTS = 50_000;
  private static final long REQUEST_INTERVAL_NANOS = 1_000_000;

  /** The number of repetitions; only the last one is measured, the others warm up. */
  private static final int REPETITIONS = 5;

  private static final double NANOS_PER_MICRO = 1e3;
  private static final double NANOS_PER_MILLI = 1e6;

  private final List<Sample> samples = new ArrayList<>();

  List<Sample> measure() {
    for (int upstreams : UPSTREAMS) {
      Deployment size = new Deployment(upstreams, 1, Deployment.TARGET.models());
      samples.add(
          heap("router.heap", "upstreams", upstreams, () -> new RequestDriver(size, false)));
      requestTime(size);
      configurationTime(size);
    }
    for (int workspaces : WORKSPACES) {
      Deployment size = new Deployment(60, workspaces, Deployment.TARGET.models());
      samples.add(heap("router.heap", "workspaces", workspaces, () -> withAllWorkspacesUsed(size)));
      documentSize(size);
    }
    for (int requests : REQUESTS_IN_PROGRESS) {
      samples.add(
          heap("router.heap", "requests", requests, () -> withRequestsInProgress(requests)));
    }
    return samples;
  }

  private static RequestDriver withAllWorkspacesUsed(Deployment size) {
    RequestDriver driver = new RequestDriver(size, false);
    driver.send(size.workspaces(), REQUEST_INTERVAL_NANOS);
    return driver;
  }

  private static RequestDriver withRequestsInProgress(int requests) {
    RequestDriver driver = new RequestDriver(Deployment.TARGET, true);
    driver.send(requests, 1);
    return driver;
  }

  private Sample heap(String series, String by, int size, Supplier<RequestDriver> state) {
    long before = Meter.heapBytes();
    RequestDriver driver = state.get();
    long after = Meter.heapBytes();
    // Reading the driver after the measurement keeps it alive until then.
    double bytes = driver.now() < 0 ? 0 : after - before;
    return new Sample(series, by, size, bytes, "B");
  }

  private void requestTime(Deployment size) {
    RequestDriver driver = new RequestDriver(size, false);
    driver.send(WARM_UP_REQUESTS, REQUEST_INTERVAL_NANOS);
    long events = driver.events();
    long start = Meter.threadNanos();
    driver.send(MEASURED_REQUESTS, REQUEST_INTERVAL_NANOS);
    double nanos = Meter.threadNanos() - start;
    samples.add(
        new Sample(
            "router.request",
            "upstreams",
            size.upstreams(),
            nanos / MEASURED_REQUESTS / NANOS_PER_MICRO,
            "us"));
    samples.add(
        new Sample(
            "router.event",
            "upstreams",
            size.upstreams(),
            nanos / (driver.events() - events) / NANOS_PER_MICRO,
            "us"));
  }

  private void configurationTime(Deployment size) {
    RequestDriver driver = new RequestDriver(size, false);
    long nanos = 0;
    for (int i = 1; i <= REPETITIONS; i++) {
      Configuration next = size.configuration(new Revision(1 + i));
      long start = Meter.threadNanos();
      driver.apply(new Event.ConfigurationAccepted(driver.now(), next));
      nanos = Meter.threadNanos() - start;
    }
    samples.add(
        new Sample(
            "router.configure", "upstreams", size.upstreams(), nanos / NANOS_PER_MILLI, "ms"));
  }

  private void documentSize(Deployment size) {
    String text = ConfigurationDocument.write(size.configuration(new Revision(1)));
    long nanos = 0;
    for (int i = 0; i < REPETITIONS; i++) {
      long start = Meter.threadNanos();
      ConfigurationDocument.readAccepted("snapshot", text).orThrow();
      nanos = Meter.threadNanos() - start;
    }
    samples.add(new Sample("document.size", "workspaces", size.workspaces(), text.length(), "B"));
    samples.add(
        new Sample(
            "document.read", "workspaces", size.workspaces(), nanos / NANOS_PER_MILLI, "ms"));
  }
}
