/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a copy of a small collection by list and watch.
 *
 * <p>Invariants: an object is never replaced by an older version, and the copy never by an older
 * state of the collection. A list that is behind the copy is discarded, unless the store has begun
 * another era, in which version numbers are reused. While the store is unreachable the last copy
 * stays. An unreadable object is not in the copy and does not affect the others. Confined to the
 * scheduler, except {@link #timeSinceLastAnswer} and {@link #losses}, which any thread may call.
 *
 * @since 0.1
 */
public final class CollectionMirror implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(CollectionMirror.class);
  private static final Duration DEFAULT_WATCH_TIMEOUT = Duration.ofSeconds(60);

  /** The maximum delay until a live watch delivers a change that a peer has already seen. */
  private static final Duration MAX_WATCH_LAG = Duration.ofMillis(250);

  /** The time for which a watch that confirms the copy waits for a change. */
  private static final Duration CONFIRMATION_TIMEOUT = Duration.ofMillis(1);

  private final ObjectApi api;
  private final String collection;
  private final Scheduler scheduler;
  private final Backoff backoff;
  private final WatchTimes watchTimes;
  private final Consumer<CollectionChange> listener;
  private final CollectionCopy copy = new CollectionCopy();
  private TreeMap<String, StoredObject> listedObjects;
  private TreeMap<String, EntryProblem> listedUnreadable;

  /**
   * The version of the list in progress; afterwards the version from which the next watch resumes.
   */
  private StoreVersion version = StoreVersion.NONE;

  private Watch watch;
  private StoreVersion copyVersion = StoreVersion.NONE;

  /** The version of the newest list that the copy adopted; it contains all changes up to it. */
  private StoreVersion listedVersion = StoreVersion.NONE;

  private boolean failing;

  /** The confirmations that the next watch is to give. */
  private List<CompletableFuture<Void>> confirmations = new ArrayList<>();

  /** True if a watch reported an unreadable object without a name. */
  private boolean listAfterWatch;

  private boolean closed;
  private boolean publishScheduled;

  /**
   * The scheduler's time of the store's last answer or event for the collection, in nanoseconds.
   */
  private volatile long lastAnswerNanos;

  private final AtomicInteger losses = new AtomicInteger();

  /**
   * Creates a mirror that is not started yet, with watches of a fixed timeout.
   *
   * @param api the object API
   * @param collection the collection
   * @param scheduler the API's scheduler
   * @param backoff the delays between attempts while the store is unreachable
   * @param listener receives the changes, at least once after each list; changes that arrive
   *     together are reported in one call
   */
  public CollectionMirror(
      ObjectApi api,
      String collection,
      Scheduler scheduler,
      Backoff backoff,
      Consumer<CollectionChange> listener) {
    this(api, collection, scheduler, backoff, WatchTimes.fixed(DEFAULT_WATCH_TIMEOUT), listener);
  }

  /**
   * Creates a mirror that is not started yet.
   *
   * @param api the object API
   * @param collection the collection
   * @param scheduler the API's scheduler
   * @param backoff the delays between attempts while the store is unreachable
   * @param watchTimes the timeouts of watches and the pauses between them
   * @param listener receives the changes, at least once after each list; changes that arrive
   *     together are reported in one call
   */
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
    this.lastAnswerNanos = scheduler.nanoTime();
  }

  /**
   * Reads what has changed by now, without waiting for a change; called on the scheduler. A watch
   * in progress is replaced by a short one, since its connection may be unresponsive; one that
   * receives an answer is followed by a short one.
   *
   * @return completes on the scheduler once the copy is as new as the store was at the call, and
   *     the listener was told of it; not while the store is unreachable
   */
  public CompletableFuture<Void> confirm() {
    CompletableFuture<Void> confirmation = new CompletableFuture<>();
    confirmations.add(confirmation);
    if (watch != null && !failing && !watch.isReceiving()) {
      Watch replaced = watch;
      watch = null;
      replaced.close();
      watch();
    }
    return confirmation;
  }

  /** Starts to list and watch the collection; called once, on the scheduler. */
  public void start() {
    listAfterWatch = false;
    listedObjects = new TreeMap<>();
    listedUnreadable = new TreeMap<>();
    version = StoreVersion.NONE;
    requestPage(ListQuery.of(collection));
  }

  @Override
  public void close() {
    closed = true;
    if (watch != null) {
      watch.close();
    }
  }

  /** Returns whether the last attempt to reach the store failed. */
  public boolean isFailing() {
    return failing;
  }

  /**
   * Returns the time since the store's last answer or event for the collection. It also grows while
   * a live watch waits for a change.
   */
  public Duration timeSinceLastAnswer() {
    return Duration.ofNanos(scheduler.nanoTime() - lastAnswerNanos);
  }

  /** Returns how often the store became unreachable after it had been reached. */
  public int losses() {
    return losses.get();
  }

  /** Returns the version of the copy; {@link StoreVersion#NONE} before the first list. */
  public StoreVersion version() {
    return copyVersion;
  }

  /**
   * Returns the version of the newest change of an object that was received. If a removal was only
   * inferred from a list, this is a lower bound. {@link StoreVersion#NONE} before the first change.
   */
  public StoreVersion changeVersion() {
    return copy.changeVersion();
  }

  /**
   * Records that a peer has seen a change; called on the scheduler. If the change does not arrive
   * here soon, the watch is closed and the collection listed again, since a connection may stop
   * delivering without being closed.
   *
   * @param change the version of the change, as returned by the peer's {@link #changeVersion}
   */
  public void changeSeenByPeer(StoreVersion change) {
    if (!closed && !failing && isUnseen(change) && watch != null) {
      Watch checked = watch;
      Duration watchDelay = watch.ended().isDone() ? watchTimes.pause() : Duration.ZERO;
      scheduler.schedule(
          watchDelay.plus(MAX_WATCH_LAG), () -> replaceWatchIfBehind(checked, change));
    }
  }

  /**
   * Returns whether a change has not been received here. A removal that was inferred from a list
   * has no version, so the version of the adopted list counts too. The version up to which a watch
   * claims to be current does not count: the peer's report is to reveal a watch that fails to
   * deliver a change.
   */
  public boolean isUnseen(StoreVersion change) {
    return change.isAfter(StoreVersion.max(copy.changeVersion(), listedVersion));
  }

  private void replaceWatchIfBehind(Watch checked, StoreVersion change) {
    if (closed || watch != checked || !isUnseen(change)) {
      return;
    }
    if (checked.isReceiving()) {
      // Ended and listed anew, the same state would only take longer.
      scheduler.schedule(MAX_WATCH_LAG, () -> replaceWatchIfBehind(checked, change));
      return;
    }
    watch = null;
    checked.close();
    retry(
        new IllegalStateException(
            "a peer has seen a change that the watch did not deliver: " + change));
  }

  /** Returns the objects of the copy by name. */
  public ImmutableSortedMap<String, StoredObject> objects() {
    return copy.objects();
  }

  /**
   * Returns the problems of unreadable objects by name; one without a name is under the empty name.
   */
  public ImmutableSortedMap<String, EntryProblem> unreadable() {
    return copy.unreadable();
  }

  /**
   * Adopts a newer copy from a peer while the store is unreachable; called on the scheduler.
   *
   * @param newer the version of the peer's copy
   * @param peerObjects the objects of the peer's copy
   * @return true if the copy was adopted
   */
  public boolean offer(StoreVersion newer, Collection<StoredObject> peerObjects) {
    if (closed || !failing || !newer.isAfter(copyVersion)) {
      return false;
    }
    TreeMap<String, StoredObject> offered = new TreeMap<>();
    peerObjects.forEach(o -> offered.put(o.key().name(), o));
    peerObjects.forEach(copy::recordVersion);
    copy.replace(offered, new TreeMap<>(), copyVersion, newer);
    setCopyVersion(newer);
    publish(Source.PEER);
    return true;
  }

  private void requestPage(ListQuery q) {
    CompletableFuture<ObjectPage> f = api.list(q);
    f.whenComplete(
        (page, failure) -> {
          if (closed) {
            return;
          }
          if (failure != null) {
            retry(failure);
          } else {
            receivedPage(q, page);
          }
        });
  }

  private void receivedPage(ListQuery q, ObjectPage page) {
    lastAnswerNanos = scheduler.nanoTime();
    if (!version.isNone() && !version.isSameEraAs(page.resourceVersion())) {
      // The store was restored from a backup between two pages, so they belong to different states.
      start();
      return;
    }
    page.items().forEach(o -> listedObjects.put(o.key().name(), o));
    page.items().forEach(copy::recordVersion);
    page.unreadable().forEach(u -> listedUnreadable.put(u.name(), u.problem()));
    version =
        version.isNone()
            ? page.resourceVersion()
            : StoreVersion.min(version, page.resourceVersion());
    if (!page.isLast()) {
      requestPage(q.after(page.continueToken()));
      return;
    }
    backoff.reset();
    if (failing) {
      failing = false;
      LOG.info("event=collection_regained collection={} version={}", collection, version);
    }
    if (copyVersion.isAfter(version)) {
      LOG.info(
          "event=list_behind collection={} version={} shown={}", collection, version, copyVersion);
      version = copyVersion;
    } else {
      copy.replace(listedObjects, listedUnreadable, copyVersion, version);
      setCopyVersion(version);
      listedVersion = version;
      publish(Source.LIST);
    }
    watch();
  }

  private void setCopyVersion(StoreVersion now) {
    if (!copyVersion.isNone() && !copyVersion.isSameEraAs(now)) {
      LOG.warn(
          "event=collection_restored collection={} version={} shown={}",
          collection,
          now,
          copyVersion);
    }
    copyVersion = now;
  }

  private void watch() {
    List<CompletableFuture<Void>> confirmed = confirmations;
    confirmations = new ArrayList<>();
    Duration timeout = confirmed.isEmpty() ? watchTimes.nextTimeout() : CONFIRMATION_TIMEOUT;
    Watch w = api.watch(collection, version, timeout, this::receivedEvent);
    watch = w;
    w.ended().whenComplete((ok, failure) -> watchEnded(w, failure, confirmed));
  }

  private void watchEnded(Watch w, Throwable failure, List<CompletableFuture<Void>> confirmed) {
    if (closed || watch != w) {
      confirmations.addAll(confirmed);
      return;
    }
    if (failure == null) {
      // After the listener was told of the events, which is scheduled already.
      scheduler.execute(() -> confirmed.forEach(c -> c.complete(null)));
    } else {
      confirmations.addAll(confirmed);
    }
    if (failure == null) {
      lastAnswerNanos = scheduler.nanoTime();
    }
    if (failure == null && listAfterWatch) {
      scheduler.schedule(backoff.nextDelay(), this::restart);
    } else if (failure == null) {
      Duration pause = confirmations.isEmpty() ? watchTimes.pause() : Duration.ZERO;
      scheduler.schedule(pause, () -> watchNext(w));
    } else {
      retry(failure);
    }
  }

  private void watchNext(Watch w) {
    if (!closed && watch == w) {
      watch();
    }
  }

  private void receivedEvent(WatchEvent e) {
    if (closed) {
      return;
    }
    lastAnswerNanos = scheduler.nanoTime();
    version = StoreVersion.max(version, e.resourceVersion());
    copyVersion = StoreVersion.max(copyVersion, version);
    switch (e) {
      case WatchEvent.Changed c -> copy.change(c.object());
      case WatchEvent.Deleted d -> copy.remove(d.object());
      case WatchEvent.Unreadable u -> receivedUnreadable(u.object());
      case WatchEvent.Bookmark b -> {}
    }
    schedulePublishing();
  }

  /**
   * Handles an unreadable object. If its name is unknown, only a list can show which object it is,
   * so the collection is listed again after the watch.
   */
  private void receivedUnreadable(UnreadableObject o) {
    listAfterWatch |= o.name().isEmpty();
    copy.markUnreadable(o);
  }

  /** Schedules one notification of the listener for all changes that arrived together. */
  private void schedulePublishing() {
    if (copy.hasChanges() && !publishScheduled) {
      publishScheduled = true;
      scheduler.execute(this::publishWatchedChanges);
    }
  }

  private void publishWatchedChanges() {
    publishScheduled = false;
    if (!closed && copy.hasChanges()) {
      publish(Source.WATCH);
    }
  }

  private void publish(Source source) {
    CollectionChange change = copy.takeChange();
    if (!change.isEmpty()) {
      LOG.info(
          "event=collection_changed collection={} version={} change={} by={} changed={} removed={}",
          collection,
          copyVersion,
          copy.changeVersion(),
          source,
          change.changed().size(),
          change.removed().size());
    }
    try {
      listener.accept(change);
    } catch (RuntimeException e) {
      // A listener that fails must not end the following of the collection.
      LOG.error("event=listener_failed collection={} version={}", collection, copyVersion, e);
    }
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
          timeSinceLastAnswer().toMillis(),
          failure.getMessage());
    } else {
      LOG.info(
          "event=collection_not_read collection={} version={} silent_ms={} cause=\"{}\"",
          collection,
          copyVersion,
          timeSinceLastAnswer().toMillis(),
          failure.getMessage());
    }
    scheduler.schedule(backoff.nextDelay(), this::restart);
  }

  private void restart() {
    if (!closed) {
      start();
    }
  }

  /** The origin of a change of the copy, as written to the log. */
  private enum Source {
    LIST,
    WATCH,
    PEER
  }
}
