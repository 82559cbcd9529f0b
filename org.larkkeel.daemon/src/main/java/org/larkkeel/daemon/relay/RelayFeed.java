/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import java.util.SplittableRandom;
import org.larkkeel.http.relay.RelayLoop;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.store.Backoff;
import org.larkkeel.store.CollectionMirror;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.StoredObject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the router's configuration and upstreams up to date from the store.
 *
 * <p>What was read stays in force while the store can not be reached. Works on the scheduler.
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
  private volatile FeedChanges changes = FeedChanges.NONE;

  RelayFeed(
      RelayAdapter adapter,
      ObjectApi store,
      Scheduler scheduler,
      Duration watchTime,
      SplittableRandom random,
      RelayLoop loop,
      StageController stages) {
    this.stages = stages;
    this.scheduler = scheduler;
    this.adapter = adapter;
    this.loop = loop;
    this.configurations =
        new CollectionMirror(
            store,
            adapter.configurationCollection(),
            scheduler,
            backoff(random),
            watchTime,
            this::configuration);
    this.upstreams =
        new CollectionMirror(
            store,
            adapter.upstreamCollection(),
            scheduler,
            backoff(random),
            watchTime,
            this::upstreams);
  }

  private static Backoff backoff(SplittableRandom random) {
    return new Backoff(FIRST_BACKOFF, LONGEST_BACKOFF, random.split());
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
    if (theirs.configurations() > own.configurations() || theirs.upstreams() > own.upstreams()) {
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

  private void configuration(ImmutableSortedMap<String, StoredObject> objects) {
    noteChanges();
    try {
      adapter
          .configuration(objects.values())
          .ifPresent(c -> loop.submit(new RelayEvent.ConfigurationRead(loop.now(), c)));
    } catch (IllegalArgumentException e) {
      log.warn("event=configuration_unusable cause=\"{}\"", e.getMessage());
    }
  }

  private void upstreams(ImmutableSortedMap<String, StoredObject> objects) {
    noteChanges();
    var all = adapter.upstreams(objects.values());
    stages.upstreams(all.values());
    loop.submit(new RelayEvent.UpstreamsChanged(loop.now(), all));
  }

  /** Whether the store could not be reached at the last try. */
  boolean isFailing() {
    return configurations.isFailing() || upstreams.isFailing();
  }

  /** What this node has read, of each collection that is newer than the versions given. */
  FeedCopy copy(long configurationsAfter, long upstreamsAfter) {
    return new FeedCopy(
        FeedCopy.Part.of(configurations, configurationsAfter),
        FeedCopy.Part.of(upstreams, upstreamsAfter));
  }

  /** The versions of what this node has read: of configurations, then of upstreams. */
  long[] versions() {
    return new long[] {configurations.version(), upstreams.version()};
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
