/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.Upstream;
import org.larkkeel.daemon.settings.LimitSettings;
import org.larkkeel.event.Event;
import org.larkkeel.http.HttpWorker;
import org.larkkeel.http.request.EffectExecutor;
import org.larkkeel.http.request.RequestTable;
import org.larkkeel.http.upstream.EngineClient;
import org.larkkeel.http.upstream.EngineRequestId;
import org.larkkeel.http.upstream.OrphanSweep;
import org.larkkeel.http.upstream.PollSettings;
import org.larkkeel.http.upstream.PollTarget;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.http.upstream.UpstreamClient;
import org.larkkeel.http.upstream.UpstreamClientSettings;
import org.larkkeel.http.upstream.UpstreamPoller;
import org.larkkeel.lib.Closer;
import org.larkkeel.store.Scheduler;

/**
 * The components of a node that communicate with upstreams.
 *
 * <p>Safe for use by several threads.
 */
final class UpstreamModule implements AutoCloseable {
  private static final int IDLE_POLL_FACTOR = 8;
  private static final long SWEEP_TIMEOUT_NANOS = Duration.ofSeconds(2).toNanos();

  private final Closer closer = new Closer();
  private final EngineClient engines;
  private final EffectExecutor executor;
  private final UpstreamPoller poller;
  private final OrphanSweep sweep;

  /** The components of the rest of the node that this module uses. */
  record Dependencies(
      EngineRequestId.Origin origin,
      RequestTable table,
      NodeConfiguration configuration,
      HttpWorker worker,
      Scheduler scheduler,
      Consumer<Event> events,
      LongSupplier clock) {}

  UpstreamModule(Dependencies dependencies, LimitSettings limits, long seed) {
    UpstreamClient client =
        closer.add(
            new UpstreamClient(
                dependencies.worker(), UpstreamClientSettings.DEFAULT, dependencies.clock()));
    engines = new EngineClient(client);
    executor =
        new EffectExecutor(
            dependencies.origin(),
            dependencies.table(),
            client,
            dependencies.configuration(),
            dependencies.events()::accept,
            dependencies.clock());
    poller =
        closer.add(
            new UpstreamPoller(
                engines,
                pollSettings(limits),
                (nanos, task) ->
                    dependencies
                        .scheduler()
                        .schedule(pollDelay(nanos, dependencies.table().size()), task),
                dependencies.clock(),
                jitter(seed),
                dependencies.events()));
    sweep = new OrphanSweep(engines, SWEEP_TIMEOUT_NANOS);
  }

  /**
   * Returns the time to the next poll. A node without requests polls less often, since its next
   * request is placed by granted slots and its first answers update the load reports.
   *
   * @param nanos the interval of a node with requests, nanoseconds
   * @param inProgress the number of requests in progress at this node
   */
  static Duration pollDelay(long nanos, int inProgress) {
    return Duration.ofNanos(inProgress == 0 ? IDLE_POLL_FACTOR * nanos : nanos);
  }

  /** Returns a seeded random number source, synchronized for use by several threads. */
  private static java.util.function.DoubleSupplier jitter(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    return () -> {
      synchronized (random) {
        return random.nextDouble();
      }
    };
  }

  private static PollSettings pollSettings(LimitSettings limits) {
    PollSettings defaults = PollSettings.DEFAULT;
    return new PollSettings(
        limits.poll().toNanos(), defaults.cacheNanos(), defaults.timeoutNanos(), defaults.jitter());
  }

  EffectExecutor executor() {
    return executor;
  }

  EngineClient engines() {
    return engines;
  }

  OrphanSweep sweep() {
    return sweep;
  }

  /** Sets the engines to poll from a configuration; services report no load. */
  void setConfiguration(Configuration configuration) {
    ImmutableSet.Builder<PollTarget> targets = ImmutableSet.builder();
    for (Upstream upstream : configuration.upstreams().values()) {
      if (isEngine(upstream)) {
        targets.add(new PollTarget(upstream.name(), UpstreamAddress.parse(upstream.address())));
      }
    }
    poller.setTargets(targets.build());
  }

  static boolean isEngine(Upstream upstream) {
    return !upstream.models().isEmpty();
  }

  @Override
  public void close() throws Exception {
    closer.close();
  }
}
