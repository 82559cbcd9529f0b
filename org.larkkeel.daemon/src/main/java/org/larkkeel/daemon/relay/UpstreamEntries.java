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
import org.larkkeel.store.Reading;
import org.larkkeel.store.StoredObject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The upstreams that entries of the store name, kept by difference: a change costs what the entries
 * that have changed cost, however many there are.
 *
 * <p>Invariant: an upstream counts if its entry can be read and does not lack a start that most
 * entries have ({@link MissingStarts}). What a store that came back from a copy says against what
 * was seen before is corrected ({@link PastLives}). Not safe for use by several threads.
 */
final class UpstreamEntries {
  private static final Logger log = LoggerFactory.getLogger(UpstreamEntries.class);

  /** After this time the store has removed the entries of upstreams that are silent. */
  static final Duration HELD_BACK = Duration.ofSeconds(6);

  private final Function<StoredObject, Reading<RelayUpstream>> reader;
  private final Map<String, RelayUpstream> readable = new HashMap<>();
  private final Map<String, EntryProblem> unreadable = new TreeMap<>();
  private final Set<String> withoutStart = new LinkedHashSet<>();

  /** Those that count, by the names of their entries and by service. */
  private final Map<String, RelayUpstream> counted = new HashMap<>();

  private final Map<ServiceName, Set<UpstreamName>> byService = new HashMap<>();
  private final PastLives past = new PastLives();

  /** Entries of a copy whose upstreams were seen to end before it. */
  private final Map<String, StoredObject> heldBack = new HashMap<>();

  private boolean startsExpected;

  /**
   * By what the upstreams that count differ from those before.
   *
   * @param changed those that are new or differ, by name
   * @param removed names of those that count no longer
   */
  record Difference(
      ImmutableMap<UpstreamName, RelayUpstream> changed, ImmutableSet<UpstreamName> removed) {}

  /** Begins without entries; what can be read decides the reader. */
  UpstreamEntries(Function<StoredObject, Reading<RelayUpstream>> reader) {
    this.reader = reader;
  }

  /** Takes over changes of entries. */
  Difference apply(long at, CollectionChange change) {
    if (change.isRestored()) {
      past.restored(readable.values());
    }
    Set<String> touched = new LinkedHashSet<>();
    for (StoredObject o : change.changed()) {
      touched.add(o.key().name());
      heldBack.remove(o.key().name());
      if (change.isRestored() && isPast(at, o)) {
        hold(o);
      } else {
        read(at, o);
      }
    }
    for (String name : change.removed()) {
      touched.add(name);
      heldBack.remove(name);
      if (!change.isRestored()) {
        past.ended(at, readable.get(name));
      }
      forget(name);
    }
    return difference(at, touched);
  }

  /**
   * Lets entries count that are still there although their upstreams were seen to end: those of
   * upstreams that are silent have been removed by now.
   */
  Difference release(long at) {
    Set<String> touched = new LinkedHashSet<>(heldBack.keySet());
    ImmutableList.copyOf(heldBack.values()).forEach(o -> read(at, o));
    heldBack.clear();
    return difference(at, touched);
  }

  private boolean isPast(long at, StoredObject o) {
    return reader.apply(o) instanceof Reading.Readable<RelayUpstream> r
        && past.isEnded(at, r.value().life());
  }

  /** Keeps to what was known: that the upstream is gone, or the life that has followed. */
  private void hold(StoredObject o) {
    log.warn("event=entry_held_back entry={} version={}", o.key().name(), o.resourceVersion());
    heldBack.put(o.key().name(), o);
  }

  private Difference difference(long at, Set<String> changed) {
    Set<String> touched = new LinkedHashSet<>(changed);
    boolean before = startsExpected;
    startsExpected = MissingStarts.areExpected(withoutStart.size(), readable.size());
    if (before != startsExpected) {
      touched.addAll(withoutStart);
    }
    return compare(touched);
  }

  private void read(long at, StoredObject o) {
    String name = o.key().name();
    RelayUpstream before = readable.get(name);
    forget(name);
    switch (reader.apply(o)) {
      case Reading.Readable<RelayUpstream> r -> {
        past.replaced(at, before, r.value());
        readable.put(name, past.correct(r.value()));
        if (!r.value().life().hasStart()) {
          withoutStart.add(name);
        }
      }
      case Reading.Unreadable<RelayUpstream> u -> unreadable.put(name, u.problem());
    }
  }

  private void forget(String name) {
    readable.remove(name);
    unreadable.remove(name);
    withoutStart.remove(name);
  }

  private Difference compare(Set<String> touched) {
    ImmutableMap.Builder<UpstreamName, RelayUpstream> changed = ImmutableMap.builder();
    ImmutableSet.Builder<UpstreamName> removed = ImmutableSet.builder();
    for (String name : touched) {
      RelayUpstream before = counted.get(name);
      RelayUpstream now = counts(name) ? readable.get(name) : null;
      if (Objects.equals(before, now)) {
        continue;
      }
      if (before != null) {
        uncount(name, before);
      }
      if (now != null) {
        count(name, now);
        changed.put(now.id(), now);
      } else {
        removed.add(before.id());
      }
    }
    return new Difference(changed.buildOrThrow(), removed.build());
  }

  private boolean counts(String name) {
    return !(startsExpected && withoutStart.contains(name));
  }

  private void count(String name, RelayUpstream u) {
    counted.put(name, u);
    byService.computeIfAbsent(u.service(), s -> new HashSet<>()).add(u.id());
  }

  private void uncount(String name, RelayUpstream u) {
    counted.remove(name);
    Set<UpstreamName> others = byService.get(u.service());
    others.remove(u.id());
    if (others.isEmpty()) {
      byService.remove(u.service());
    }
  }

  /**
   * What is wrong with entries, by their names.
   *
   * <p>Services that no configuration names are told as well: no rule leads to those. Their entries
   * are kept, as they may come before the configuration that names them, and calls in progress may
   * end after the one that did.
   *
   * @param isNamed whether a configuration names a service
   */
  Map<String, EntryProblem> problems(Predicate<ServiceName> isNamed) {
    Map<String, EntryProblem> problems = new TreeMap<>(unreadable);
    if (startsExpected) {
      withoutStart.forEach(name -> problems.put(name, MissingStarts.PROBLEM));
    }
    byService.forEach(
        (service, names) -> {
          if (!isNamed.test(service)) {
            names.forEach(name -> problems.put(name.value(), unnamed(service)));
          }
        });
    return Collections.unmodifiableMap(problems);
  }

  private static EntryProblem unnamed(ServiceName service) {
    return new EntryProblem(
        Reason.UNNAMED_SERVICE,
        "service",
        service.value(),
        "a service of the configuration in force");
  }
}
