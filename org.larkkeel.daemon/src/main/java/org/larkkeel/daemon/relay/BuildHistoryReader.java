/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.larkkeel.relay.BuildHistory;
import org.larkkeel.relay.BuildName;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.StreamBuild;
import org.larkkeel.relay.StreamId;
import org.larkkeel.store.EntryProblem;
import org.larkkeel.store.EntryProblem.Reason;
import org.larkkeel.store.ListQuery;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.ObjectPage;
import org.larkkeel.store.ParseResult;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.StoredObject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads what the store keeps of builds and streams, for a node that does not know it.
 *
 * <p>Runs on the scheduler.
 */
final class BuildHistoryReader {
  private static final Logger log = LoggerFactory.getLogger(BuildHistoryReader.class);
  private static final int MAX_PAGES = 8;

  private final ObjectApi store;
  private final UnreadableEntries problems;

  /** Receives what was read. */
  interface Listener {
    /**
     * Handles the end of a read.
     *
     * @param history the builds; empty if the store could not be read
     * @param streams the streams, of which the build is unknown if records contradict each other
     */
    void read(Optional<BuildHistory> history, ImmutableList<StreamBuild> streams);
  }

  /** The entries of the pages that were read. */
  private final class Reading {
    private final Listener listener;
    private final Map<ServiceName, ImmutableSet<BuildName>> builds = new LinkedHashMap<>();
    private final Map<StreamId, StreamBuild> streams = new LinkedHashMap<>();
    private final Map<String, EntryProblem> unreadable = new TreeMap<>();
    private int pages;

    Reading(Listener listener) {
      this.listener = listener;
    }

    void list(ListQuery query) {
      store.list(query).whenComplete((page, failure) -> listed(query, page, failure));
    }

    private void listed(ListQuery query, ObjectPage page, Throwable failure) {
      if (failure != null) {
        log.debug("event=builds_not_read cause=\"{}\"", failure.getMessage());
        listener.read(Optional.empty(), ImmutableList.of());
        return;
      }
      page.unreadable().forEach(u -> unreadable.put(u.name(), u.problem()));
      page.items().forEach(this::add);
      pages++;
      if (!page.isLast() && pages < MAX_PAGES) {
        list(query.after(page.continueToken()));
        return;
      }
      problems.update(unreadable);
      log.info("event=builds_read services={} streams={}", builds, streams.size());
      listener.read(
          Optional.of(new BuildHistory(ImmutableMap.copyOf(builds))),
          ImmutableList.copyOf(streams.values()));
    }

    private void add(StoredObject object) {
      switch (StreamEntry.parse(object.spec())) {
        case ParseResult.Readable<StreamEntry> r -> add(r.value());
        case ParseResult.Unreadable<StreamEntry> u ->
            unreadable.put(object.key().name(), u.problem());
      }
    }

    private void add(StreamEntry entry) {
      switch (entry) {
        case StreamEntry.Builds b -> {
          if (b.complete() && b.era() == store.era().number()) {
            builds.put(b.service(), b.builds());
          }
        }
        case StreamEntry.Streams s ->
            s.streams().forEach(r -> streams.merge(r.stream(), r, Reading::merge));
      }
    }

    private static StreamBuild merge(StreamBuild a, StreamBuild b) {
      return a.equals(b) ? a : new StreamBuild(a.stream(), a.service(), BuildName.UNKNOWN);
    }
  }

  /**
   * Creates a reader.
   *
   * @param store the store
   * @param scheduler runs all methods
   * @param unreadable counts unreadable entries
   */
  BuildHistoryReader(ObjectApi store, Scheduler scheduler, BiConsumer<String, Reason> unreadable) {
    this.store = store;
    this.problems = new UnreadableEntries("streams", scheduler::nanoTime, unreadable);
  }

  /** Reads all entries. */
  void read(Listener listener) {
    new Reading(listener).list(ListQuery.of(StreamEntry.COLLECTION));
  }
}
