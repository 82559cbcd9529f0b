/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.larkkeel.config.Configuration;
import org.larkkeel.event.Event;
import org.larkkeel.http.caller.Workspaces;
import org.larkkeel.http.upstream.ConfiguredUpstreams;
import org.larkkeel.http.upstream.UpstreamAddress;
import org.larkkeel.http.upstream.UpstreamDirectory;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.UpstreamName;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The configuration in force on this node, whichever way it came.
 *
 * <p>Invariant: the revision never decreases. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class NodeConfiguration implements UpstreamDirectory {
  private static final Logger log = LoggerFactory.getLogger(NodeConfiguration.class);

  private final Consumer<Event> events;
  private final LongSupplier clock;
  private volatile View view = View.of(Configuration.EMPTY);
  private volatile Consumer<Configuration> listener = c -> {};

  /** One configuration with what is looked up in it. */
  private record View(
      Configuration configuration, ConfiguredUpstreams upstreams, Workspaces workspaces) {
    static View of(Configuration configuration) {
      return new View(
          configuration, ConfiguredUpstreams.of(configuration), Workspaces.of(configuration));
    }
  }

  /**
   * Creates the empty configuration.
   *
   * @param events told of each configuration that comes into force
   * @param clock the node's monotonic clock, nanoseconds
   */
  public NodeConfiguration(Consumer<Event> events, LongSupplier clock) {
    this.events = events;
    this.clock = clock;
  }

  /**
   * Sets who else is told of each configuration that comes into force.
   *
   * @param told called in the order of revisions, under the lock; must not block
   */
  public void setListener(Consumer<Configuration> told) {
    listener = told;
  }

  /**
   * Brings a configuration into force, unless that in force is as new.
   *
   * @param configuration the configuration, accepted before
   * @return true if it is in force now
   */
  public synchronized boolean accept(Configuration configuration) {
    if (!configuration.revision().isAfter(revision())) {
      return false;
    }
    view = View.of(configuration);
    events.accept(new Event.ConfigurationAccepted(clock.getAsLong(), configuration));
    log.info("event=configuration_accepted revision={}", configuration.revision());
    listener.accept(configuration);
    return true;
  }

  /**
   * The configuration in force.
   *
   * @return the configuration, never null
   */
  public Configuration current() {
    return view.configuration;
  }

  /**
   * The revision in force.
   *
   * @return the revision, {@link Revision#NONE} before the first
   */
  public Revision revision() {
    return view.configuration.revision();
  }

  /**
   * The workspaces in force.
   *
   * @return the index of workspaces
   */
  public Workspaces workspaces() {
    return view.workspaces;
  }

  @Override
  public Optional<UpstreamAddress> find(UpstreamName name) {
    return view.upstreams.find(name);
  }
}
