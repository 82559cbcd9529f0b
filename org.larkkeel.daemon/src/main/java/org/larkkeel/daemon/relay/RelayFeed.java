/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.larkkeel.http.relay.RelayLoop;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.store.Backoff;
import org.larkkeel.store.CollectionChange;
import org.larkkeel.store.CollectionMirror;
import org.larkkeel.store.EntryProblem;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.ParseResult;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.WatchTimes;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the store and keeps the router's configuration and upstreams up to date.
 *
 * <p>The last state that was read stays in force while the store is unreachable. An unreadable
 * configuration is ignored; an unreadable upstream entry is treated as removed. Runs on the
 * scheduler.
 */
final class RelayFeed implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger(RelayFeed.class);
  private static final Duration FIRST_BACKOFF = Duration.ofMillis(250);
  private static final Duration MAX_BACKOFF = Duration.ofMillis(1_200);

  private final RelayAdapter adapter;
  private final RelayLoop loop;
  private final StageController stages;
  private final CollectionMirror configurations;
  private final CollectionMirror upstreams;
  private final Scheduler scheduler;
  private final UnreadableEntries configurationProblems;
  private final UnreadableEntries upstreamProblems;
  private final UpstreamEntries entries;
  private final PeerLead lead;
  private boolean behind;

  /** How often the store had become unreachable before the last change of the upstreams. */
  private int upstreamLosses;

  /** The names of the upstreams that the last change has left. */
  private final Set<String> seenUpstreams = new HashSet<>();

  private Runnable restoredListener = () -> {};
  private Optional<RelayConfiguration> newestConfiguration = Optional.empty();
  private volatile FeedChanges newestVersions = FeedChanges.NONE;

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
    this.lead = new PeerLead(configurations::isUnseen);
    meters.watchMirror("configurations", configurations);
    meters.watchMirror("upstreams", upstreams);
  }

  private static Backoff backoff(SplittableRandom random) {
    return new Backoff(FIRST_BACKOFF, MAX_BACKOFF, random.split());
  }

  /**
   * Sets the action to run when the store was restored from a backup; to be called before {@link
   * #start}.
   */
  void onRestored(Runnable action) {
    restoredListener = action;
  }

  void start() {
    configurations.start();
    upstreams.start();
  }

  /** Returns the versions of the newest changes that were seen; thread-safe. */
  FeedChanges newestVersions() {
    return newestVersions;
  }

  /** Handles the newest versions that a peer has seen; may be called on any thread. */
  void onPeerVersions(FeedChanges theirs) {
    FeedChanges own = newestVersions;
    if (theirs.configurations().isAfter(own.configurations())
        || theirs.upstreams().isAfter(own.upstreams())) {
      scheduler.execute(
          () -> {
            configurations.changeSeenByPeer(theirs.configurations());
            upstreams.changeSeenByPeer(theirs.upstreams());
            if (lead.reported(theirs.configurations(), scheduler.nanoTime())) {
              scheduler.schedule(PeerLead.MAX_LEAD, this::checkLead);
            }
          });
    }
  }

  /**
   * Takes the configuration for outdated while peers have known a newer one for too long. The store
   * is read again, as what they report may be wrong.
   */
  private void checkLead() {
    boolean isBehind = lead.isTooLong(scheduler.nanoTime());
    if (isBehind == behind) {
      return;
    }
    behind = isBehind;
    loop.submit(new RelayEvent.ConfigurationBehind(loop.now(), behind));
    if (behind) {
      configurations.confirm().thenRun(this::leadRefuted);
    }
  }

  private void leadRefuted() {
    lead.refuted();
    checkLead();
  }

  /**
   * Reads the state of the store again, and then answers a request of the router.
   *
   * @param number the number of the request
   */
  void confirm(long number) {
    CompletableFuture.allOf(configurations.confirm(), upstreams.confirm())
        .thenRun(() -> loop.submit(new RelayEvent.StateConfirmed(loop.now(), number)));
  }

  /**
   * Reads the discovery list again, and then answers a request of the router.
   *
   * @param number the number of the request
   */
  void confirmUpstreams(long number) {
    upstreams
        .confirm()
        .thenRun(() -> loop.submit(new RelayEvent.UpstreamsConfirmed(loop.now(), number)));
  }

  private void updateVersions() {
    newestVersions = new FeedChanges(configurations.changeVersion(), upstreams.changeVersion());
  }

  private void configuration(CollectionChange change) {
    updateVersions();
    readConfiguration();
    if (behind) {
      checkLead();
    }
  }

  private void readConfiguration() {
    Map<String, EntryProblem> problems = new TreeMap<>(configurations.unreadable());
    adapter
        .configuration(configurations.objects().values())
        .ifPresent(
            reading -> {
              switch (reading) {
                case ParseResult.Readable<RelayConfiguration> r -> accept(r.value());
                case ParseResult.Unreadable<RelayConfiguration> u ->
                    problems.put(adapter.configurationCollection(), u.problem());
              }
            });
    configurationProblems.update(problems);
  }

  private void accept(RelayConfiguration c) {
    newestConfiguration =
        newestConfiguration.filter(n -> n.revision() > c.revision()).or(() -> Optional.of(c));
    loop.submit(new RelayEvent.ConfigurationRead(loop.now(), c));
    updateUpstreamProblems();
  }

  private void upstreams(CollectionChange change) {
    updateVersions();
    boolean isGap =
        upstreams.isFailing()
            || upstreams.losses() != upstreamLosses
            || change.isRestored()
            || removesUnseen(change);
    upstreamLosses = upstreams.losses();
    apply(entries.apply(scheduler.nanoTime(), change), isGap);
    if (change.isRestored()) {
      scheduler.schedule(UpstreamEntries.HOLD_BACK_TIME, this::releaseHeldBack);
      restoredListener.run();
    }
  }

  /** Returns whether an entry came and went between two changes, so that it was never seen. */
  private boolean removesUnseen(CollectionChange change) {
    boolean isUnseen = false;
    for (String name : change.removed()) {
      isUnseen |= !seenUpstreams.remove(name);
    }
    change.changed().forEach(o -> seenUpstreams.add(o.key().name()));
    return isUnseen;
  }

  /** Activates the entries that were held back and still exist. */
  private void releaseHeldBack() {
    apply(entries.releaseHeldBack(scheduler.nanoTime()), false);
  }

  private void apply(UpstreamEntries.Difference d, boolean afterGap) {
    stages.upstreams(d.changed(), d.removed());
    loop.submit(
        new RelayEvent.UpstreamsChanged(
            loop.now(),
            OptionalLong.of(scheduler.wallMillis()),
            afterGap,
            d.changed(),
            d.removed()));
    updateUpstreamProblems();
  }

  private void updateUpstreamProblems() {
    Map<String, EntryProblem> problems = new TreeMap<>(upstreams.unreadable());
    problems.putAll(
        entries.problems(
            s -> newestConfiguration.isEmpty() || newestConfiguration.get().isConfigured(s)));
    upstreamProblems.update(problems);
  }

  /** Returns whether the last attempt to reach the store failed. */
  boolean isFailing() {
    return configurations.isFailing() || upstreams.isFailing();
  }

  /** Returns a copy of each collection that is newer than the given version. */
  FeedCopy copy(StoreVersion configurationsAfter, StoreVersion upstreamsAfter) {
    return new FeedCopy(
        FeedCopy.Part.of(configurations, configurationsAfter),
        FeedCopy.Part.of(upstreams, upstreamsAfter));
  }

  /** Returns the versions of the collections as this node has read them. */
  FeedChanges versions() {
    return new FeedChanges(configurations.version(), upstreams.version());
  }

  /**
   * Accepts the collections that a peer has read, where they are newer; returns whether one was.
   */
  boolean offer(FeedCopy copy) {
    boolean accepted = false;
    FeedCopy.Part c = copy.configurations();
    if (configurations.offer(c.version(), c.objects(adapter.configurationCollection()))) {
      log.info("event=taken_from_peer collection=configurations version={}", c.version());
      accepted = true;
    }
    FeedCopy.Part u = copy.upstreams();
    if (upstreams.offer(u.version(), u.objects(adapter.upstreamCollection()))) {
      log.info("event=taken_from_peer collection=upstreams version={}", u.version());
      accepted = true;
    }
    return accepted;
  }

  @Override
  public void close() {
    configurations.close();
    upstreams.close();
  }
}
