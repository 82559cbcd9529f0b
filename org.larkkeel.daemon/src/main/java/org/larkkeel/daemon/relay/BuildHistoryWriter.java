/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.larkkeel.relay.BuildName;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.store.Backoff;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.ObjectApiFailure;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.ParseResult;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.StoreVersion;
import org.larkkeel.store.StoredObject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the builds that have served in the store, so that they outlast the end of all nodes.
 *
 * <p>A build is added before it begins streams: by the first node in the order of names, and by
 * each later one that still finds it missing. What is over is removed by the first few nodes only.
 * No time of another node is compared: a build is removed by a node that has not seen it listed for
 * the life of a stream, in two steps: it is marked as ending, and removed only if the entry has not
 * changed for {@link #REMOVAL_DELAY} since, in which any newly listed build would have been seen.
 *
 * <p>Invariant: an entry that is complete and of the current era names all builds that have begun a
 * stream within its life. Runs on the scheduler.
 */
final class BuildHistoryWriter {
  private static final Logger log = LoggerFactory.getLogger(BuildHistoryWriter.class);

  /** The number of nodes that write what no call waits for. */
  private static final int WRITERS = 3;

  /** The time in which a node that starts meets its peers, so that it knows its place. */
  private static final Duration START_DELAY = Duration.ofMillis(1_500);

  private static final Duration DELAY_PER_RANK = Duration.ofMillis(700);

  /** The delay per rank while calls wait for a build; the last nodes wait for the maximum. */
  private static final Duration AWAITED_DELAY_PER_RANK = Duration.ofMillis(5);

  private static final Duration MAX_AWAITED_DELAY = Duration.ofMillis(400);
  private static final Duration REMOVAL_DELAY = Duration.ofSeconds(5);

  /** The time from marking builds to the first read of the mark. */
  private static final Duration MARK_DELAY = Duration.ofMillis(100);

  private static final Duration FIRST_BACKOFF = Duration.ofMillis(100);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

  private final ObjectApi store;
  private final Scheduler scheduler;
  private final IntSupplier rank;
  private final BooleanSupplier isNewNode;
  private final Consumer<StreamEntry.Builds> listener;
  private final Backoff backoff;
  private final Map<ServiceName, Entry> entries = new HashMap<>();

  /** The entry of a service. */
  private static final class Entry {
    final ServiceName service;
    final ObjectKey key;
    RelayEffect.RecordBuilds wanted;
    boolean busy;
    boolean again;

    /** The version in which the builds that are over were marked when it was first read. */
    Optional<StoreVersion> marked = Optional.empty();

    long markedSinceNanos;

    Entry(ServiceName service) {
      this.service = service;
      this.key = new ObjectKey(StreamEntry.COLLECTION, StreamEntry.Builds.nameOf(service));
    }
  }

  /**
   * Creates an instance that has recorded nothing.
   *
   * @param store the store
   * @param scheduler runs all methods
   * @param rank returns the number of live peers before this node
   * @param isNewNode returns whether this node had never been registered before it started, so that
   *     there is no history if the store has none
   * @param listener receives the entries that the store has
   * @param random spreads repeated attempts
   */
  BuildHistoryWriter(
      ObjectApi store,
      Scheduler scheduler,
      IntSupplier rank,
      BooleanSupplier isNewNode,
      Consumer<StreamEntry.Builds> listener,
      SplittableRandom random) {
    this.store = store;
    this.scheduler = scheduler;
    this.rank = rank;
    this.isNewNode = isNewNode;
    this.listener = listener;
    this.backoff = new Backoff(FIRST_BACKOFF, MAX_BACKOFF, random);
  }

  /** Records builds; what was to be recorded of the service before is replaced. */
  void record(RelayEffect.RecordBuilds effect) {
    Entry entry = entries.computeIfAbsent(effect.service(), Entry::new);
    entry.wanted = effect;
    if (effect.awaited()) {
      Duration delay = AWAITED_DELAY_PER_RANK.multipliedBy(rank.getAsInt());
      scheduler.schedule(
          delay.compareTo(MAX_AWAITED_DELAY) < 0 ? delay : MAX_AWAITED_DELAY, () -> read(entry));
    } else {
      scheduler.schedule(START_DELAY, () -> readByRank(entry));
    }
  }

  private void readByRank(Entry entry) {
    int own = rank.getAsInt();
    if (own < WRITERS) {
      scheduler.schedule(DELAY_PER_RANK.multipliedBy(own), () -> read(entry));
    }
  }

  private void read(Entry entry) {
    if (entry.busy) {
      entry.again = true;
      return;
    }
    entry.busy = true;
    store.get(entry.key).whenComplete((present, failure) -> found(entry, present, failure));
  }

  private void found(Entry entry, StoredObject present, Throwable failure) {
    if (failure != null && !isFailure(failure, ObjectApiFailure.NotFound.class)) {
      retry(entry, failure);
      return;
    }
    Optional<StreamEntry.Builds> stored = Optional.ofNullable(present).flatMap(this::parse);
    StreamEntry.Builds merged = merged(entry, stored, Optional.ofNullable(present));
    if (stored.filter(merged::equals).isPresent()) {
      ended(entry, merged);
    } else if (present == null) {
      store
          .create(entry.key, StreamEntry.COLLECTION, merged.toJson())
          .whenComplete((made, f) -> written(entry, merged, f));
    } else {
      store
          .update(entry.key, StreamEntry.COLLECTION, merged.toJson(), present.resourceVersion())
          .whenComplete((made, f) -> written(entry, merged, f));
    }
  }

  private Optional<StreamEntry.Builds> parse(StoredObject present) {
    return StreamEntry.parse(present.spec()) instanceof ParseResult.Readable<StreamEntry> r
            && r.value() instanceof StreamEntry.Builds b
        ? Optional.of(b)
        : Optional.empty();
  }

  /** Returns what the store should have, given what it has. */
  private StreamEntry.Builds merged(
      Entry entry, Optional<StreamEntry.Builds> stored, Optional<StoredObject> present) {
    final RelayEffect.RecordBuilds wanted = entry.wanted;
    final long era = store.era().number();
    ImmutableSet<BuildName> builds =
        stored
            .map(s -> ImmutableSet.copyOf(Sets.union(s.builds(), wanted.builds())))
            .orElse(wanted.builds());
    ImmutableSet<BuildName> over =
        wanted.complete()
            ? ImmutableSet.copyOf(Sets.difference(builds, wanted.builds()))
            : ImmutableSet.of();
    ImmutableSet<BuildName> ending =
        stored
            .map(
                s ->
                    ImmutableSet.copyOf(
                        Sets.union(Sets.difference(s.ending(), wanted.builds()), over)))
            .orElse(over);
    if (!over.isEmpty() && canRemove(entry, stored, over, present)) {
      builds = wanted.builds();
      ending = ImmutableSet.of();
    }
    boolean wasComplete = stored.filter(s -> s.complete() && s.era() == era).isPresent();
    boolean complete =
        wasComplete || wanted.complete() || (present.isEmpty() && isNewNode.getAsBoolean());
    return new StreamEntry.Builds(entry.service, builds, ending, complete, era);
  }

  /**
   * Returns whether builds that are over can be removed: they are marked as ending, and the entry
   * has not changed since for long enough. A node that finds such a build listed removes the mark,
   * which changes the entry.
   */
  private boolean canRemove(
      Entry entry,
      Optional<StreamEntry.Builds> stored,
      ImmutableSet<BuildName> over,
      Optional<StoredObject> present) {
    if (stored.filter(s -> s.ending().containsAll(over)).isEmpty()) {
      scheduler.schedule(MARK_DELAY, () -> readByRank(entry));
      return false;
    }
    StoreVersion version = present.orElseThrow().resourceVersion();
    long now = scheduler.nanoTime();
    if (entry.marked.filter(version::equals).isPresent()) {
      return now - entry.markedSinceNanos >= REMOVAL_DELAY.toNanos();
    }
    entry.marked = Optional.of(version);
    entry.markedSinceNanos = now;
    scheduler.schedule(REMOVAL_DELAY, () -> readByRank(entry));
    return false;
  }

  private void written(Entry entry, StreamEntry.Builds written, Throwable failure) {
    if (failure != null) {
      retry(entry, failure);
      return;
    }
    log.info(
        "event=builds_recorded service={} builds={} complete={}",
        written.service(),
        written.builds(),
        written.complete());
    ended(entry, written);
  }

  private void ended(Entry entry, StreamEntry.Builds stored) {
    backoff.reset();
    entry.busy = false;
    listener.accept(stored);
    if (entry.again) {
      entry.again = false;
      read(entry);
    }
  }

  private void retry(Entry entry, Throwable failure) {
    log.debug("event=builds_not_recorded service={} cause=\"{}\"", entry.service, failure);
    scheduler.schedule(
        backoff.nextDelay(),
        () -> {
          entry.busy = false;
          read(entry);
        });
  }

  private static boolean isFailure(Throwable failure, Class<? extends ObjectApiFailure> kind) {
    return ObjectApiException.failureOf(failure).filter(kind::isInstance).isPresent();
  }
}
