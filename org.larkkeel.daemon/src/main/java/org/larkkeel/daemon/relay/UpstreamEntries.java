/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.store.CollectionChange;
import org.larkkeel.store.EntryProblem;
import org.larkkeel.store.EntryProblem.Reason;
import org.larkkeel.store.ParseResult;
import org.larkkeel.store.StoredObject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The active upstreams according to the entries of the store, updated incrementally: the cost of a
 * change depends on the number of changed entries and not on the number of all entries.
 *
 * <p>Invariant: an upstream is active if its entry is readable and does not lack an incarnation
 * that most entries have ({@link MissingIncarnations}). Entries of a restored store that contradict
 * earlier observations are corrected ({@link IncarnationHistory}). Not thread-safe.
 */
final class UpstreamEntries {
  private static final Logger log = LoggerFactory.getLogger(UpstreamEntries.class);

  /**
   * The time for which entries of ended upstreams are held back after the store was restored; by
   * then the store has removed the entries of unresponsive upstreams.
   */
  static final Duration HOLD_BACK_TIME = Duration.ofSeconds(6);

  private final Function<StoredObject, ParseResult<RelayUpstream>> parser;
  private final Map<String, RelayUpstream> readable = new HashMap<>();
  private final Map<String, EntryProblem> unreadable = new TreeMap<>();
  private final Set<String> withoutIncarnation = new LinkedHashSet<>();

  /**
   * The active upstreams, by the names of their entries; {@link #byService} has their names by
   * service.
   */
  private final Map<String, RelayUpstream> active = new HashMap<>();

  private final Map<ServiceName, Set<UpstreamName>> byService = new HashMap<>();
  private final IncarnationHistory history = new IncarnationHistory();

  /** Entries of a restored store whose upstreams were observed to end before it was restored. */
  private final Map<String, StoredObject> heldBack = new HashMap<>();

  private boolean incarnationsExpected;

  /**
   * The difference between the active upstreams before and after a change.
   *
   * @param changed the upstreams that are new or differ, by name
   * @param removed the names of the upstreams that are no longer active
   */
  record Difference(
      ImmutableMap<UpstreamName, RelayUpstream> changed, ImmutableSet<UpstreamName> removed) {}

  /**
   * Creates an instance without entries.
   *
   * @param parser reads the upstream of an entry
   */
  UpstreamEntries(Function<StoredObject, ParseResult<RelayUpstream>> parser) {
    this.parser = parser;
  }

  /**
   * Applies changes of entries.
   *
   * @param nowNanos the time in nanoseconds
   */
  Difference apply(long nowNanos, CollectionChange change) {
    if (change.isRestored()) {
      history.restored(readable.values());
    }
    Set<String> changedNames = new LinkedHashSet<>();
    for (StoredObject o : change.changed()) {
      changedNames.add(o.key().name());
      heldBack.remove(o.key().name());
      if (change.isRestored() && hasEnded(nowNanos, o)) {
        holdBack(o);
      } else {
        read(nowNanos, o);
      }
    }
    for (String name : change.removed()) {
      changedNames.add(name);
      heldBack.remove(name);
      if (!change.isRestored()) {
        history.ended(nowNanos, readable.get(name));
      }
      remove(name);
    }
    return difference(nowNanos, changedNames);
  }

  /**
   * Activates the entries that were held back and still exist: the store has removed those of
   * unresponsive upstreams by now.
   */
  Difference releaseHeldBack(long nowNanos) {
    Set<String> changedNames = new LinkedHashSet<>(heldBack.keySet());
    ImmutableList.copyOf(heldBack.values()).forEach(o -> read(nowNanos, o));
    heldBack.clear();
    return difference(nowNanos, changedNames);
  }

  private boolean hasEnded(long nowNanos, StoredObject o) {
    return parser.apply(o) instanceof ParseResult.Readable<RelayUpstream> r
        && history.isEnded(nowNanos, r.value().incarnation());
  }

  /**
   * Holds back an entry, so that the earlier state stays: the upstream has ended or has a newer
   * incarnation.
   */
  private void holdBack(StoredObject o) {
    log.warn("event=entry_held_back entry={} version={}", o.key().name(), o.resourceVersion());
    heldBack.put(o.key().name(), o);
  }

  private Difference difference(long nowNanos, Set<String> changed) {
    Set<String> changedNames = new LinkedHashSet<>(changed);
    boolean wereExpected = incarnationsExpected;
    incarnationsExpected =
        MissingIncarnations.areProblems(withoutIncarnation.size(), readable.size());
    if (wereExpected != incarnationsExpected) {
      changedNames.addAll(withoutIncarnation);
    }
    return computeDifference(changedNames);
  }

  private void read(long nowNanos, StoredObject o) {
    String name = o.key().name();
    RelayUpstream previous = readable.get(name);
    remove(name);
    switch (parser.apply(o)) {
      case ParseResult.Readable<RelayUpstream> r -> {
        history.replaced(nowNanos, previous, r.value());
        readable.put(name, history.withObservedState(r.value()));
        if (!r.value().incarnation().isKnown()) {
          withoutIncarnation.add(name);
        }
      }
      case ParseResult.Unreadable<RelayUpstream> u -> unreadable.put(name, u.problem());
    }
  }

  private void remove(String name) {
    readable.remove(name);
    unreadable.remove(name);
    withoutIncarnation.remove(name);
  }

  private Difference computeDifference(Set<String> names) {
    ImmutableMap.Builder<UpstreamName, RelayUpstream> changed = ImmutableMap.builder();
    ImmutableSet.Builder<UpstreamName> removed = ImmutableSet.builder();
    for (String name : names) {
      RelayUpstream previous = active.get(name);
      RelayUpstream current = isActive(name) ? readable.get(name) : null;
      if (Objects.equals(previous, current)) {
        continue;
      }
      if (previous != null) {
        deactivate(name, previous);
      }
      if (current != null) {
        activate(name, current);
        changed.put(current.name(), current);
      } else {
        removed.add(previous.name());
      }
    }
    return new Difference(changed.buildOrThrow(), removed.build());
  }

  private boolean isActive(String name) {
    return !(incarnationsExpected && withoutIncarnation.contains(name));
  }

  private void activate(String name, RelayUpstream u) {
    active.put(name, u);
    byService.computeIfAbsent(u.service(), s -> new HashSet<>()).add(u.name());
  }

  private void deactivate(String name, RelayUpstream u) {
    active.remove(name);
    Set<UpstreamName> others = byService.get(u.service());
    others.remove(u.name());
    if (others.isEmpty()) {
      byService.remove(u.service());
    }
  }

  /**
   * Returns the problems of the entries, by entry name.
   *
   * <p>Upstreams of services that no configuration names are included, because no rule leads to
   * them. They stay active, as an entry may arrive before the configuration that names its service,
   * and calls in progress may outlast the configuration that named it.
   *
   * @param isNamed returns whether a configuration names a service
   */
  Map<String, EntryProblem> problems(Predicate<ServiceName> isNamed) {
    Map<String, EntryProblem> problems = new TreeMap<>(unreadable);
    if (incarnationsExpected) {
      withoutIncarnation.forEach(name -> problems.put(name, MissingIncarnations.PROBLEM));
    }
    byService.forEach(
        (service, names) -> {
          if (!isNamed.test(service)) {
            names.forEach(name -> problems.put(name.value(), unnamedService(service)));
          }
        });
    return Collections.unmodifiableMap(problems);
  }

  private static EntryProblem unnamedService(ServiceName service) {
    return new EntryProblem(
        Reason.UNNAMED_SERVICE,
        "service",
        service.value(),
        "a service of the configuration in force");
  }
}
