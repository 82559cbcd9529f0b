/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import java.util.Collection;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a copy of a small collection by list and watch.
 *
 * <p>Invariants: an object never goes back to an older version, and the copy never to an older
 * state of the collection: a list that is behind what was seen is not taken over, unless the store
 * has begun another era, in which versions begin again. While the store can not be reached the last
 * copy stays. An object that can not be read is not in the copy, and changes nothing about the
 * others. Confined to the scheduler, but for {@link #silence} and {@link #losses}, which any thread
 * may ask for.
 *
 * @since 0.1
 */
public final class CollectionMirror implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(CollectionMirror.class);
  private static final Duration DEFAULT_WATCH_TIME = Duration.ofSeconds(60);

  /** How long a change that others know of may take to be seen by a watch that waits. */
  private static final Duration LAG = Duration.ofMillis(250);

  private final ObjectApi api;
  private final String collection;
  private final Scheduler scheduler;
  private final Backoff backoff;
  private final WatchTimes watchTimes;
  private final Consumer<CollectionChange> listener;
  private final CollectionCopy copy = new CollectionCopy();
  private TreeMap<String, StoredObject> listing;
  private TreeMap<String, EntryProblem> unreadableListing;
  private StoreVersion version = StoreVersion.NONE;
  private Watch watch;
  private StoreVersion shownVersion = StoreVersion.NONE;

  /** The version of the newest list that was taken over, which shows all changes up to it. */
  private StoreVersion listedVersion = StoreVersion.NONE;

  private boolean failing;
  private boolean namelessChange;
  private boolean closed;

  private boolean publishPlanned;

  /** When the store last said something of the collection. */
  private volatile long heardAt;

  private final AtomicInteger losses = new AtomicInteger();

  /**
   * Creates a mirror that has not begun.
   *
   * @param api the object API
   * @param collection the collection
   * @param scheduler the API's scheduler
   * @param backoff distances of attempts while the store can not be reached
   * @param listener receives what has changed, at least once after each list; changes that come
   *     together are told together
   */
  public CollectionMirror(
      ObjectApi api,
      String collection,
      Scheduler scheduler,
      Backoff backoff,
      Consumer<CollectionChange> listener) {
    this(api, collection, scheduler, backoff, WatchTimes.always(DEFAULT_WATCH_TIME), listener);
  }

  /** As the other, with the times of watches. */
  public CollectionMirror(
      ObjectApi api,
      String collection,
      Scheduler scheduler,
      Backoff backoff,
      WatchTimes watchTimes,
      Consumer<CollectionChange> listener) {
    this.api = api;
    this.collection = collection;
    this.scheduler = scheduler;
    this.backoff = backoff;
    this.watchTimes = watchTimes;
    this.listener = listener;
    this.heardAt = scheduler.nanoTime();
  }

  /** Begins; called once. */
  public void start() {
    namelessChange = false;
    listing = new TreeMap<>();
    unreadableListing = new TreeMap<>();
    version = StoreVersion.NONE;
    page(ListQuery.of(collection));
  }

  @Override
  public void close() {
    closed = true;
    if (watch != null) {
      watch.close();
    }
  }

  /** Whether the store could not be reached at the last try. */
  public boolean isFailing() {
    return failing;
  }

  /** How long the store has said nothing of the collection; a watch that waits is silent too. */
  public Duration silence() {
    return Duration.ofNanos(scheduler.nanoTime() - heardAt);
  }

  /** How often the store was lost after it was reached. */
  public int losses() {
    return losses.get();
  }

  /** The version of the copy; none before the first one. */
  public StoreVersion version() {
    return shownVersion;
  }

  /**
   * The version of the newest change of an object that was seen, or a lower bound of it where a
   * removal was seen by what a list lacks; none before the first.
   */
  public StoreVersion changeVersion() {
    return copy.changeVersion();
  }

  /**
   * Notes that another process has seen a change; on the scheduler. If it is not seen here soon,
   * the watch is taken for dead, as connections may go silent without an end, and the collection is
   * read anew.
   *
   * @param change its version, as of {@link #changeVersion}
   */
  public void others(StoreVersion change) {
    if (!closed && !failing && isNews(change) && watch != null) {
      Watch suspect = watch;
      Duration begins = watch.ended().isDone() ? watchTimes.pause() : Duration.ZERO;
      scheduler.schedule(begins.plus(LAG), () -> suspect(suspect, change));
    }
  }

  /**
   * Whether a change is not known here. A removal that a list shows by what it lacks has no version
   * here, so the list's own counts too. What a watch says to be up to date with does not: that it
   * keeps silent about a change is just what others' word is to show.
   */
  private boolean isNews(StoreVersion change) {
    return change.isAfter(StoreVersion.max(copy.changeVersion(), listedVersion));
  }

  private void suspect(Watch suspect, StoreVersion change) {
    if (closed || watch != suspect || !isNews(change)) {
      return;
    }
    watch = null;
    suspect.close();
    retry(new IllegalStateException("others have seen the change " + change));
  }

  /** The copy. */
  public ImmutableSortedMap<String, StoredObject> objects() {
    return copy.objects();
  }

  /** Why objects can not be read, by their names; under the empty name one that has none. */
  public ImmutableSortedMap<String, EntryProblem> unreadable() {
    return copy.unreadable();
  }

  /**
   * Takes over a newer copy that came by another way while the store can not be reached; on the
   * scheduler.
   *
   * @param newer its version
   * @param others its objects
   * @return whether it was taken over
   */
  public boolean offer(StoreVersion newer, Collection<StoredObject> others) {
    if (closed || !failing || !newer.isAfter(shownVersion)) {
      return false;
    }
    TreeMap<String, StoredObject> offered = new TreeMap<>();
    others.forEach(o -> offered.put(o.key().name(), o));
    others.forEach(copy::seen);
    copy.replace(offered, new TreeMap<>(), shownVersion, newer);
    show(newer);
    publish(Source.PEER);
    return true;
  }

  private void page(ListQuery q) {
    CompletableFuture<ObjectPage> f = api.list(q);
    f.whenComplete(
        (page, failure) -> {
          if (closed) {
            return;
          }
          if (failure != null) {
            retry(failure);
          } else {
            received(q, page);
          }
        });
  }

  private void received(ListQuery q, ObjectPage page) {
    heardAt = scheduler.nanoTime();
    if (!version.isNone() && !version.isOfEraOf(page.resourceVersion())) {
      // The store came back from a copy between two pages, which are of no one state.
      start();
      return;
    }
    page.items().forEach(o -> listing.put(o.key().name(), o));
    page.items().forEach(copy::seen);
    page.unreadable().forEach(u -> unreadableListing.put(u.name(), u.problem()));
    version =
        version.isNone()
            ? page.resourceVersion()
            : StoreVersion.min(version, page.resourceVersion());
    if (!page.isLast()) {
      page(q.after(page.continueToken()));
      return;
    }
    backoff.reset();
    if (failing) {
      failing = false;
      LOG.info("event=collection_regained collection={} version={}", collection, version);
    }
    if (shownVersion.isAfter(version)) {
      LOG.info(
          "event=list_behind collection={} version={} shown={}", collection, version, shownVersion);
      version = shownVersion;
    } else {
      copy.replace(listing, unreadableListing, shownVersion, version);
      show(version);
      listedVersion = version;
      publish(Source.LIST);
    }
    watch();
  }

  private void show(StoreVersion now) {
    if (!shownVersion.isNone() && !shownVersion.isOfEraOf(now)) {
      LOG.warn(
          "event=collection_restored collection={} version={} shown={}",
          collection,
          now,
          shownVersion);
    }
    shownVersion = now;
  }

  private void watch() {
    Watch w = api.watch(collection, version, watchTimes.next(), this::event);
    watch = w;
    w.ended().whenComplete((ok, failure) -> ended(w, failure));
  }

  private void ended(Watch w, Throwable failure) {
    if (closed || watch != w) {
      return;
    }
    if (failure == null) {
      heardAt = scheduler.nanoTime();
    }
    if (failure == null && namelessChange) {
      scheduler.schedule(backoff.next(), this::restart);
    } else if (failure == null) {
      scheduler.schedule(watchTimes.pause(), () -> watchAgain(w));
    } else {
      retry(failure);
    }
  }

  private void watchAgain(Watch w) {
    if (!closed && watch == w) {
      watch();
    }
  }

  private void event(WatchEvent e) {
    if (closed) {
      return;
    }
    heardAt = scheduler.nanoTime();
    version = StoreVersion.max(version, e.resourceVersion());
    shownVersion = StoreVersion.max(shownVersion, version);
    switch (e) {
      case WatchEvent.Changed c -> copy.change(c.object());
      case WatchEvent.Deleted d -> copy.remove(d.object());
      case WatchEvent.Unreadable u -> turnedUnreadable(u.object());
      case WatchEvent.Bookmark b -> {}
    }
    planPublishing();
  }

  /** Which object has none of a name only a list can tell; that is asked for after the watch. */
  private void turnedUnreadable(UnreadableObject o) {
    namelessChange |= o.name().isEmpty();
    copy.turnUnreadable(o);
  }

  /** Lets the listener be told once all that came together has been taken in. */
  private void planPublishing() {
    if (copy.isTouched() && !publishPlanned) {
      publishPlanned = true;
      scheduler.execute(this::publishTouched);
    }
  }

  private void publishTouched() {
    publishPlanned = false;
    if (!closed && copy.isTouched()) {
      publish(Source.WATCH);
    }
  }

  private void publish(Source source) {
    CollectionChange change = copy.takeChange();
    if (!change.isEmpty()) {
      LOG.info(
          "event=collection_changed collection={} version={} change={} by={} changed={} removed={}",
          collection,
          shownVersion,
          copy.changeVersion(),
          source,
          change.changed().size(),
          change.removed().size());
    }
    listener.accept(change);
  }

  private void retry(Throwable failure) {
    if (!failing) {
      failing = true;
      losses.incrementAndGet();
      LOG.warn(
          "event=collection_lost collection={} version={} change={} silent_ms={} cause=\"{}\"",
          collection,
          version,
          copy.changeVersion(),
          silence().toMillis(),
          failure.getMessage());
    }
    scheduler.schedule(backoff.next(), this::restart);
  }

  private void restart() {
    if (!closed) {
      start();
    }
  }

  /** How what the copy holds became known. */
  private enum Source {
    LIST,
    WATCH,
    PEER
  }
}
