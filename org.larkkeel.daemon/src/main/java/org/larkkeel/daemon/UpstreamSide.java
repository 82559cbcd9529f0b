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
 * Everything of a node that talks to upstreams.
 *
 * <p>Safe for use by several threads.
 */
final class UpstreamSide implements AutoCloseable {
  private static final int IDLE_STRETCH = 8;
  private static final long SWEEP_TIMEOUT_NANOS = Duration.ofSeconds(2).toNanos();

  private final Closer closer = new Closer();
  private final EngineClient engines;
  private final EffectExecutor executor;
  private final UpstreamPoller poller;
  private final OrphanSweep sweep;

  /** What this side needs from the rest of the node. */
  record Parts(
      EngineRequestId.Origin origin,
      RequestTable table,
      NodeConfiguration configuration,
      HttpWorker worker,
      Scheduler scheduler,
      Consumer<Event> events,
      LongSupplier clock) {}

  UpstreamSide(Parts parts, LimitSettings limits, long seed) {
    UpstreamClient client =
        closer.add(
            new UpstreamClient(parts.worker(), UpstreamClientSettings.DEFAULT, parts.clock()));
    engines = new EngineClient(client);
    executor =
        new EffectExecutor(
            parts.origin(),
            parts.table(),
            client,
            parts.configuration(),
            parts.events()::accept,
            parts.clock());
    poller =
        closer.add(
            new UpstreamPoller(
                engines,
                pollSettings(limits),
                (nanos, task) ->
                    parts.scheduler().schedule(pollDelay(nanos, parts.table().size()), task),
                parts.clock(),
                jitter(seed),
                parts.events()));
    sweep = new OrphanSweep(engines, SWEEP_TIMEOUT_NANOS);
  }

  /**
   * The time to the next poll: a node without requests asks seldom, since its next request is
   * placed by grants and its first answers bring the reports up to date.
   *
   * @param nanos the time of a node with requests
   * @param inProgress requests in progress at this node
   */
  static Duration pollDelay(long nanos, int inProgress) {
    return Duration.ofNanos(inProgress == 0 ? IDLE_STRETCH * nanos : nanos);
  }

  /** Numbers from a seed, for pollers that share one scheduler thread. */
  private static java.util.function.DoubleSupplier jitter(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    return () -> {
      synchronized (random) {
        return random.nextDouble();
      }
    };
  }

  private static PollSettings pollSettings(LimitSettings limits) {
    PollSettings usual = PollSettings.DEFAULT;
    return new PollSettings(
        limits.poll().toNanos(), usual.cacheNanos(), usual.timeoutNanos(), usual.jitter());
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

  /** Polls the engines of a configuration; services have no load to ask for. */
  void configured(Configuration configuration) {
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
