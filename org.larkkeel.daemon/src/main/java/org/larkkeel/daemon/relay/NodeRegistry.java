/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import com.google.common.collect.Lists;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Names;
import org.larkkeel.relay.CrashSuspect;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.store.Backoff;
import org.larkkeel.store.EntryProblem;
import org.larkkeel.store.EntryProblem.Reason;
import org.larkkeel.store.ListQuery;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.ObjectApiFailure;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.ObjectPage;
import org.larkkeel.store.ParseResult;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.StoredObject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Registers this node in the store and discovers its peers there: at the start and rarely
 * afterwards, since nodes that start later announce themselves.
 *
 * <p>A node's entry also keeps the quarantined requests that it has detected, so that they outlast
 * a restart of all nodes. Runs on the scheduler.
 */
final class NodeRegistry {
  private static final Logger log = LoggerFactory.getLogger(NodeRegistry.class);
  private static final String COLLECTION = "relay-nodes";
  private static final String ADDRESS = "address";
  private static final long RESTORED_SPREAD_MILLIS = 1_000;
  private static final Duration SECOND_LIST_DELAY = Duration.ofSeconds(2);
  private static final Duration LIST_PERIOD = Duration.ofSeconds(30);
  private static final Duration FIRST_BACKOFF = Duration.ofMillis(500);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(4);

  private final ObjectApi store;
  private final Scheduler scheduler;
  private final ObjectKey key;
  private final InetSocketAddress address;
  private final Consumer<ImmutableList<RegisteredNode>> peerListener;
  private final Consumer<ImmutableList<CrashSuspect>> suspectListener;
  private final SplittableRandom random;
  private final Backoff backoff;
  private final Backoff listBackoff;
  private final QuarantineEntries quarantine = new QuarantineEntries();
  private final UnreadableEntries problems;
  private boolean listing;
  private boolean isNew;
  private boolean wasRestored;

  /** Whether the list of nodes has been read in this life. */
  private boolean listed;

  private boolean listScheduled;

  NodeRegistry(
      ObjectApi store,
      Scheduler scheduler,
      HostName self,
      InetSocketAddress address,
      Consumer<ImmutableList<RegisteredNode>> peerListener,
      Consumer<ImmutableList<CrashSuspect>> suspectListener,
      BiConsumer<String, Reason> unreadable) {
    this.problems = new UnreadableEntries("nodes", scheduler::nanoTime, unreadable);
    this.store = store;
    this.scheduler = scheduler;
    this.key = new ObjectKey(COLLECTION, self.value());
    this.address = address;
    this.peerListener = peerListener;
    this.suspectListener = suspectListener;
    this.random = new SplittableRandom(self.value().hashCode());
    this.backoff = new Backoff(FIRST_BACKOFF, MAX_BACKOFF, random.split());
    this.listBackoff = new Backoff(FIRST_BACKOFF, MAX_BACKOFF, random.split());
  }

  void start() {
    store
        .create(key, COLLECTION, spec())
        .whenComplete(
            (made, failure) -> {
              isNew |= failure == null && !wasRestored;
              created(made, failure);
            });
  }

  /**
   * Returns whether no node of this name was registered before this one. That a store lacks the
   * entry of a node since it was restored tells nothing.
   */
  boolean isNew() {
    return isNew;
  }

  /**
   * Registers again after the store was restored from a backup, in which this node's entry may be
   * missing or outdated. All nodes learn of the restore at once, so each waits for a random time to
   * spread their writes.
   */
  void restored() {
    wasRestored = true;
    isNew = false;
    scheduler.schedule(Duration.ofMillis(random.nextLong(RESTORED_SPREAD_MILLIS)), this::start);
  }

  private ObjectNode spec() {
    ObjectNode spec = JsonNodeFactory.instance.objectNode().put(ADDRESS, text(address));
    quarantine.write(spec);
    return spec;
  }

  /** Stores what this node has found about suspects of crashes. */
  void storeSuspects(RelayEffect.StoreSuspects news) {
    boolean changed = false;
    for (CrashSuspect s : news.suspects()) {
      changed |= quarantine.update(s, news.lasting().contains(s.id()), scheduler.wallMillis());
    }
    if (changed) {
      store.get(key).whenComplete(this::found);
    }
  }

  private static String text(InetSocketAddress a) {
    return a.getAddress().getHostAddress() + ":" + a.getPort();
  }

  private void created(StoredObject made, Throwable failure) {
    if (failure == null) {
      registered();
    } else if (isConflict(failure)) {
      store.get(key).whenComplete(this::found);
    } else {
      retry(failure);
    }
  }

  private static boolean isConflict(Throwable failure) {
    return ObjectApiException.failureOf(failure)
        .filter(
            f ->
                f instanceof ObjectApiFailure.AlreadyExists
                    || f instanceof ObjectApiFailure.Conflict)
        .isPresent();
  }

  private void found(StoredObject present, Throwable failure) {
    if (failure != null) {
      retry(failure);
    } else {
      restoreSuspects(present);
      write(present);
    }
  }

  /** Restores what the previous incarnation of this node had stored. */
  private void restoreSuspects(StoredObject present) {
    long wallMillis = scheduler.wallMillis();
    if (QuarantineEntries.read(present.spec(), wallMillis)
        instanceof ParseResult.Readable<ImmutableList<CrashSuspect>> r) {
      r.value().forEach(s -> quarantine.restore(s, wallMillis));
    }
  }

  private void write(StoredObject present) {
    if (isUpToDate(present.spec())) {
      registered();
    } else {
      store.update(key, COLLECTION, spec(), present.resourceVersion()).whenComplete(this::created);
    }
  }

  private boolean isUpToDate(JsonNode present) {
    ObjectNode wanted = spec();
    return present.path(ADDRESS).equals(wanted.path(ADDRESS))
        && present
            .path(QuarantineEntries.FIELD)
            .toString()
            .equals(wanted.path(QuarantineEntries.FIELD).toString());
  }

  private void retry(Throwable failure) {
    log.warn("event=not_registered node={} cause=\"{}\"", key.name(), failure.getMessage());
    if (ObjectApiException.failureOf(failure)
        .filter(ObjectApiFailure.Refused.class::isInstance)
        .isPresent()) {
      startListing();
    }
    scheduler.schedule(backoff.nextDelay(), this::start);
  }

  private void registered() {
    backoff.reset();
    startListing();
  }

  /** Starts to list the nodes; also if the store answers but this node's entry is unreadable. */
  private void startListing() {
    if (!listing) {
      listing = true;
      listNodes();
      scheduler.schedule(SECOND_LIST_DELAY, this::listPeriodically);
    }
  }

  private void listPeriodically() {
    listNodes();
    scheduler.schedule(LIST_PERIOD, this::listPeriodically);
  }

  private void listNodes() {
    listPage(ListQuery.of(COLLECTION), new ArrayList<>());
  }

  private void listPage(ListQuery query, List<ObjectPage> earlier) {
    store
        .list(query)
        .whenComplete(
            (page, failure) -> {
              if (failure != null) {
                notListed(failure);
                return;
              }
              earlier.add(page);
              if (page.isLast()) {
                listed(earlier);
              } else {
                listPage(query.after(page.continueToken()), earlier);
              }
            });
  }

  /**
   * Schedules another list until one was read: without it, this node knows neither its peers nor
   * what is quarantined, and must not take that for nothing.
   */
  private void notListed(Throwable failure) {
    log.info("event=nodes_not_listed listed={} cause=\"{}\"", listed, failure.getMessage());
    if (!listed && !listScheduled) {
      listScheduled = true;
      scheduler.schedule(
          listBackoff.nextDelay(),
          () -> {
            listScheduled = false;
            listNodes();
          });
    }
  }

  private void listed(List<ObjectPage> pages) {
    listed = true;
    ImmutableList.Builder<RegisteredNode> registered = ImmutableList.builder();
    Map<String, EntryProblem> unreadable = new TreeMap<>();
    pages.forEach(p -> p.unreadable().forEach(u -> unreadable.put(u.name(), u.problem())));
    for (StoredObject node : Iterables.concat(Lists.transform(pages, ObjectPage::items))) {
      switch (QuarantineEntries.read(node.spec(), scheduler.wallMillis())) {
        case ParseResult.Readable<ImmutableList<CrashSuspect>> r -> notifySuspects(r.value());
        case ParseResult.Unreadable<ImmutableList<CrashSuspect>> u ->
            unreadable.put(node.key().name(), u.problem());
      }
      if (!node.key().equals(key)) {
        switch (addressOf(node)) {
          case ParseResult.Readable<InetSocketAddress> r ->
              registered.add(new RegisteredNode(nameOf(node), r.value()));
          case ParseResult.Unreadable<InetSocketAddress> u ->
              unreadable.put(node.key().name(), u.problem());
        }
      }
    }
    peerListener.accept(registered.build());
    problems.update(unreadable);
  }

  private static Optional<HostName> nameOf(StoredObject node) {
    String name = node.key().name();
    return Names.isValid(name) ? Optional.of(new HostName(name)) : Optional.empty();
  }

  private void notifySuspects(ImmutableList<CrashSuspect> suspects) {
    if (!suspects.isEmpty()) {
      suspectListener.accept(suspects);
    }
  }

  private static ParseResult<InetSocketAddress> addressOf(StoredObject node) {
    JsonNode text = node.spec().path(ADDRESS);
    if (text.isMissingNode()) {
      return unreadable(Reason.MISSING, "nothing");
    }
    if (!text.isTextual()) {
      return unreadable(Reason.WRONG_TYPE, text.toString());
    }
    try {
      HostAndPort at = HostAndPort.fromString(text.textValue());
      if (at.getPort() == 0) {
        return unreadable(Reason.OUT_OF_RANGE, text.textValue());
      }
      return new ParseResult.Readable<>(
          new InetSocketAddress(InetAddresses.forString(at.getHost()), at.getPort()));
    } catch (IllegalArgumentException | IllegalStateException e) {
      return unreadable(Reason.MALFORMED, text.textValue());
    }
  }

  private static ParseResult<InetSocketAddress> unreadable(Reason reason, String found) {
    return new ParseResult.Unreadable<>(new EntryProblem(reason, ADDRESS, found, "IP:PORT"));
  }
}
