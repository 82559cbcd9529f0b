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
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.larkkeel.lib.HostName;
import org.larkkeel.relay.Suspect;
import org.larkkeel.store.Backoff;
import org.larkkeel.store.EntryProblem;
import org.larkkeel.store.EntryProblem.Reason;
import org.larkkeel.store.ListQuery;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.ObjectApiException;
import org.larkkeel.store.ObjectApiFailure;
import org.larkkeel.store.ObjectKey;
import org.larkkeel.store.ObjectPage;
import org.larkkeel.store.Reading;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.StoredObject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Registers this node in the store and finds the others there: at its start and seldom after, as
 * those that start later make themselves known.
 *
 * <p>A node's entry also keeps the quarantined requests that it has found, so that they outlast the
 * end of all nodes. Works on the scheduler.
 */
final class NodeRegistry {
  private static final Logger log = LoggerFactory.getLogger(NodeRegistry.class);
  private static final String COLLECTION = "relay-nodes";
  private static final String ADDRESS = "address";
  private static final long RESTORED_SPREAD_MILLIS = 1_000;
  private static final Duration SECOND_LOOK = Duration.ofSeconds(2);
  private static final Duration LATER = Duration.ofSeconds(30);
  private static final Duration FIRST_BACKOFF = Duration.ofMillis(500);
  private static final Duration LONGEST_BACKOFF = Duration.ofSeconds(4);

  private final ObjectApi store;
  private final Scheduler scheduler;
  private final ObjectKey key;
  private final InetSocketAddress address;
  private final Consumer<InetSocketAddress> meet;
  private final Consumer<ImmutableList<Suspect>> heard;
  private final SplittableRandom random;
  private final Backoff backoff;
  private final QuarantineEntries quarantine = new QuarantineEntries();
  private final UnreadableEntries problems;
  private boolean looking;

  NodeRegistry(
      ObjectApi store,
      Scheduler scheduler,
      HostName self,
      InetSocketAddress address,
      Consumer<InetSocketAddress> meet,
      Consumer<ImmutableList<Suspect>> heard,
      BiConsumer<String, Reason> unreadable) {
    this.problems = new UnreadableEntries("nodes", scheduler::nanoTime, unreadable);
    this.store = store;
    this.scheduler = scheduler;
    this.key = new ObjectKey(COLLECTION, self.value());
    this.address = address;
    this.meet = meet;
    this.heard = heard;
    this.random = new SplittableRandom(self.value().hashCode());
    this.backoff = new Backoff(FIRST_BACKOFF, LONGEST_BACKOFF, random.split());
  }

  void start() {
    store.create(key, COLLECTION, spec()).whenComplete(this::created);
  }

  /**
   * The store has come back from a copy, in which this node's entry may be missing or older. All
   * nodes learn of it in the same moment, so that they write spread over some time.
   */
  void restored() {
    scheduler.schedule(Duration.ofMillis(random.nextLong(RESTORED_SPREAD_MILLIS)), this::start);
  }

  private ObjectNode spec() {
    ObjectNode spec = JsonNodeFactory.instance.objectNode().put(ADDRESS, text(address));
    quarantine.write(spec);
    return spec;
  }

  /** Keeps what this node has found of a request, if it is or was quarantined. */
  void keep(Suspect suspect) {
    if (quarantine.keep(suspect, scheduler.wallMillis())) {
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
      takeBack(present);
      write(present);
    }
  }

  /** Takes over what this node had found in its life before. */
  private void takeBack(StoredObject present) {
    long now = scheduler.wallMillis();
    if (QuarantineEntries.read(present.spec(), now)
        instanceof Reading.Readable<ImmutableList<Suspect>> r) {
      r.value().forEach(s -> quarantine.takeBack(s, now));
    }
  }

  private void write(StoredObject present) {
    if (isWritten(present.spec())) {
      registered();
    } else {
      store.update(key, COLLECTION, spec(), present.resourceVersion()).whenComplete(this::created);
    }
  }

  private boolean isWritten(JsonNode present) {
    ObjectNode now = spec();
    return present.path(ADDRESS).equals(now.path(ADDRESS))
        && present
            .path(QuarantineEntries.FIELD)
            .toString()
            .equals(now.path(QuarantineEntries.FIELD).toString());
  }

  private void retry(Throwable failure) {
    log.warn("event=not_registered node={} cause=\"{}\"", key.name(), failure.getMessage());
    scheduler.schedule(backoff.next(), this::start);
  }

  private void registered() {
    backoff.reset();
    if (!looking) {
      looking = true;
      look();
      scheduler.schedule(SECOND_LOOK, this::lookAndGoOn);
    }
  }

  private void lookAndGoOn() {
    look();
    scheduler.schedule(LATER, this::lookAndGoOn);
  }

  private void look() {
    store.list(ListQuery.of(COLLECTION)).whenComplete(this::listed);
  }

  private void listed(ObjectPage page, Throwable failure) {
    if (failure != null) {
      log.debug("event=nodes_not_listed cause=\"{}\"", failure.getMessage());
      return;
    }
    Map<String, EntryProblem> unread = new TreeMap<>();
    page.unreadable().forEach(u -> unread.put(u.name(), u.problem()));
    for (StoredObject node : page.items()) {
      switch (QuarantineEntries.read(node.spec(), scheduler.wallMillis())) {
        case Reading.Readable<ImmutableList<Suspect>> r -> tell(r.value());
        case Reading.Unreadable<ImmutableList<Suspect>> u ->
            unread.put(node.key().name(), u.problem());
      }
      if (!node.key().equals(key)) {
        switch (addressOf(node)) {
          case Reading.Readable<InetSocketAddress> r -> meet.accept(r.value());
          case Reading.Unreadable<InetSocketAddress> u ->
              unread.put(node.key().name(), u.problem());
        }
      }
    }
    problems.update(unread);
  }

  private void tell(ImmutableList<Suspect> suspects) {
    if (!suspects.isEmpty()) {
      heard.accept(suspects);
    }
  }

  private static Reading<InetSocketAddress> addressOf(StoredObject node) {
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
      return new Reading.Readable<>(
          new InetSocketAddress(InetAddresses.forString(at.getHost()), at.getPort()));
    } catch (IllegalArgumentException | IllegalStateException e) {
      return unreadable(Reason.MALFORMED, text.textValue());
    }
  }

  private static Reading<InetSocketAddress> unreadable(Reason reason, String found) {
    return new Reading.Unreadable<>(new EntryProblem(reason, ADDRESS, found, "IP:PORT"));
  }
}
