/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import org.larkkeel.http.relay.RelayLoop;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.store.Backoff;
import org.larkkeel.store.CollectionChange;
import org.larkkeel.store.CollectionMirror;
import org.larkkeel.store.EntryProblem;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.Reading;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.WatchTimes;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the router's configuration and upstreams up to date from the store.
 *
 * <p>What was read stays in force while the store can not be reached. A configuration that can not
 * be read is not taken; an upstream's entry that can not be read names no upstream, as if it had
 * been removed. Works on the scheduler.
 */
final class RelayFeed implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(RelayFeed.class);
  private static final Duration FIRST_BACKOFF = Duration.ofMillis(250);
  private static final Duration LONGEST_BACKOFF = Duration.ofMillis(1_200);

  private final RelayAdapter adapter;
  private final RelayLoop loop;
  private final StageController stages;
  private final CollectionMirror configurations;
  private final CollectionMirror upstreams;
  private final Scheduler scheduler;
  private final UnreadableEntries configurationProblems;
  private final UnreadableEntries upstreamProblems;
  private final UpstreamEntries entries;
  private Runnable restored = () -> {};
  private Optional<RelayConfiguration> newest = Optional.empty();
  private volatile FeedChanges changes = FeedChanges.NONE;

  RelayFeed(
      RelayAdapter adapter,
      ObjectApi store,
      Scheduler scheduler,
      Duration watchTime,
      SplittableRandom random,
      IntSupplier nodes,
      IntSupplier rank,
      RelayLoop loop,
      StageController stages,
      RelayMeters meters) {
    this.configurationProblems =
        new UnreadableEntries("configurations", scheduler::nanoTime, meters::unreadable);
    this.upstreamProblems =
        new UnreadableEntries("upstreams", scheduler::nanoTime, meters::unreadable);
    this.stages = stages;
    this.scheduler = scheduler;
    this.adapter = adapter;
    this.entries = new UpstreamEntries(adapter::upstream);
    this.loop = loop;
    this.configurations =
        new CollectionMirror(
            store,
            adapter.configurationCollection(),
            scheduler,
            backoff(random),
            WatchTimes.spread(watchTime, random.split(), nodes, rank),
            this::configuration);
    this.upstreams =
        new CollectionMirror(
            store,
            adapter.upstreamCollection(),
            scheduler,
            backoff(random),
            WatchTimes.spread(watchTime, random.split(), nodes, rank),
            this::upstreams);
    meters.follow("configurations", configurations);
    meters.follow("upstreams", upstreams);
  }

  private static Backoff backoff(SplittableRandom random) {
    return new Backoff(FIRST_BACKOFF, LONGEST_BACKOFF, random.split());
  }

  /** Sets what is to be done when the store has come back from a copy; before the start. */
  void onRestored(Runnable action) {
    restored = action;
  }

  void start() {
    configurations.start();
    upstreams.start();
  }

  /** The newest changes that were seen; safe for use by several threads. */
  FeedChanges changes() {
    return changes;
  }

  /** Another node has seen changes; on any thread. */
  void others(FeedChanges theirs) {
    FeedChanges own = changes;
    if (theirs.configurations().isAfter(own.configurations())
        || theirs.upstreams().isAfter(own.upstreams())) {
      scheduler.execute(
          () -> {
            configurations.others(theirs.configurations());
            upstreams.others(theirs.upstreams());
          });
    }
  }

  private void noteChanges() {
    changes = new FeedChanges(configurations.changeVersion(), upstreams.changeVersion());
  }

  private void configuration(CollectionChange change) {
    noteChanges();
    Map<String, EntryProblem> problems = new TreeMap<>(configurations.unreadable());
    adapter
        .configuration(configurations.objects().values())
        .ifPresent(
            reading -> {
              switch (reading) {
                case Reading.Readable<RelayConfiguration> r -> take(r.value());
                case Reading.Unreadable<RelayConfiguration> u ->
                    problems.put(adapter.configurationCollection(), u.problem());
              }
            });
    configurationProblems.update(problems);
  }

  private void take(RelayConfiguration c) {
    newest = newest.filter(n -> n.revision() > c.revision()).or(() -> Optional.of(c));
    loop.submit(new RelayEvent.ConfigurationRead(loop.now(), c));
    tellUpstreamProblems();
  }

  private void upstreams(CollectionChange change) {
    noteChanges();
    apply(entries.apply(scheduler.nanoTime(), change));
    if (change.isRestored()) {
      scheduler.schedule(UpstreamEntries.HELD_BACK, this::release);
      restored.run();
    }
  }

  /** Lets entries count that have outlived what was known of their upstreams before. */
  private void release() {
    apply(entries.release(scheduler.nanoTime()));
  }

  private void apply(UpstreamEntries.Difference d) {
    stages.upstreams(d.changed(), d.removed());
    loop.submit(new RelayEvent.UpstreamsChanged(loop.now(), d.changed(), d.removed()));
    tellUpstreamProblems();
  }

  private void tellUpstreamProblems() {
    Map<String, EntryProblem> problems = new TreeMap<>(upstreams.unreadable());
    problems.putAll(entries.problems(s -> newest.isEmpty() || newest.get().names(s)));
    upstreamProblems.update(problems);
  }

  /** Whether the store could not be reached at the last try. */
  boolean isFailing() {
    return configurations.isFailing() || upstreams.isFailing();
  }

  /** What this node has read, of each collection that is newer than the versions given. */
  FeedCopy copy(StoreVersion configurationsAfter, StoreVersion upstreamsAfter) {
    return new FeedCopy(
        FeedCopy.Part.of(configurations, configurationsAfter),
        FeedCopy.Part.of(upstreams, upstreamsAfter));
  }

  /** The versions of what this node has read. */
  FeedChanges versions() {
    return new FeedChanges(configurations.version(), upstreams.version());
  }

  /** Takes over what another node has read, where it is newer. */
  void offer(FeedCopy copy) {
    FeedCopy.Part c = copy.configurations();
    if (configurations.offer(c.version(), c.objects(adapter.configurationCollection()))) {
      log.info("event=taken_from_peer collection=configurations version={}", c.version());
    }
    FeedCopy.Part u = copy.upstreams();
    if (upstreams.offer(u.version(), u.objects(adapter.upstreamCollection()))) {
      log.info("event=taken_from_peer collection=upstreams version={}", u.version());
    }
  }

  @Override
  public void close() {
    configurations.close();
    upstreams.close();
  }
}
