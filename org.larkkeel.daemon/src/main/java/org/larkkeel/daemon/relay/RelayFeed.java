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

  RelayFeed(
      RelayAdapter adapter,
      ObjectApi store,
      Scheduler scheduler,
      Duration watchTime,
      SplittableRandom random,
      RelayLoop loop,
      StageController stages) {
    this.stages = stages;
    this.adapter = adapter;
    this.loop = loop;
    this.configurations =
        new CollectionMirror(
            store,
            adapter.configurations(),
            scheduler,
            backoff(random),
            watchTime,
            this::configuration);
    this.upstreams =
        new CollectionMirror(
            store, adapter.upstreams(), scheduler, backoff(random), watchTime, this::upstreams);
  }

  private static Backoff backoff(SplittableRandom random) {
    return new Backoff(FIRST_BACKOFF, LONGEST_BACKOFF, random.split());
  }

  void start() {
    configurations.start();
    upstreams.start();
  }

  private void configuration(ImmutableSortedMap<String, StoredObject> objects) {
    try {
      adapter
          .configuration(objects.values())
          .ifPresent(c -> loop.submit(new RelayEvent.ConfigurationRead(loop.now(), c)));
    } catch (IllegalArgumentException e) {
      log.warn("event=configuration_unusable cause=\"{}\"", e.getMessage());
    }
  }

  private void upstreams(ImmutableSortedMap<String, StoredObject> objects) {
    var all = adapter.upstreams(objects.values());
    stages.upstreams(all.values());
    loop.submit(new RelayEvent.UpstreamsChanged(loop.now(), all));
  }

  @Override
  public void close() {
    configurations.close();
    upstreams.close();
  }
}
