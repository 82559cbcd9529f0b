/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.larkkeel.errors.Slugs;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The platform's list of live and leaving hosts, which lags behind.
 *
 * <p>It is only a hint: it provides seeds for membership and early notice of leaving hosts. While
 * the store is unreachable the last list stays. Thread-safe.
 *
 * @since 0.1
 */
public final class HostList implements AutoCloseable {
  /** The name of the collection of hosts. */
  public static final String COLLECTION = "hosts";

  private static final Logger LOG = LoggerFactory.getLogger(HostList.class);
  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(100);
  private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(5);

  private final Scheduler scheduler;
  private final CollectionMirror mirror;
  private final Consumer<ImmutableList<HostEntry>> listener;
  private volatile Optional<ImmutableList<HostEntry>> current = Optional.empty();

  /**
   * Creates a list that is not started yet.
   *
   * @param api the object API
   * @param scheduler the API's scheduler
   * @param random the source of jitter
   * @param listener receives the complete list after each change, on the scheduler
   */
  public HostList(
      ObjectApi api,
      Scheduler scheduler,
      RandomGenerator random,
      Consumer<ImmutableList<HostEntry>> listener) {
    this.scheduler = scheduler;
    this.listener = listener;
    Backoff backoff = new Backoff(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY, random);
    this.mirror =
        new CollectionMirror(api, COLLECTION, scheduler, backoff, change -> publishHosts());
  }

  /** Starts to list and watch the hosts; called once. */
  public void start() {
    scheduler.execute(mirror::start);
  }

  /**
   * Returns the last list.
   *
   * @return the hosts ordered by name, empty before the first answer
   */
  public Optional<ImmutableList<HostEntry>> current() {
    return current;
  }

  @Override
  public void close() {
    scheduler.execute(mirror::close);
  }

  private void publishHosts() {
    ImmutableList.Builder<HostEntry> hosts = ImmutableList.builder();
    mirror.objects().values().forEach(o -> read(o).ifPresent(hosts::add));
    ImmutableList<HostEntry> list = hosts.build();
    current = Optional.of(list);
    listener.accept(list);
  }

  /**
   * Reads an entry, or logs and skips it if it is unreadable: one bad entry must not hide the
   * others.
   */
  private static Optional<HostEntry> read(StoredObject o) {
    JsonNode spec = o.spec();
    try {
      return Optional.of(
          new HostEntry(
              new HostName(o.key().name()),
              spec.path("address").asText(),
              new DataCentreName(spec.path("dataCentre").asText()),
              phase(spec.path("phase").asText())));
    } catch (IllegalArgumentException e) {
      LOG.warn("event=host-entry-unreadable object={} cause=\"{}\"", o.key(), e.getMessage());
      return Optional.empty();
    }
  }

  private static HostPhase phase(String text) {
    for (HostPhase p : HostPhase.values()) {
      if (Slugs.of(p).equals(text)) {
        return p;
      }
    }
    throw new IllegalArgumentException("phase is \"" + text + "\": use live or leaving");
  }
}
