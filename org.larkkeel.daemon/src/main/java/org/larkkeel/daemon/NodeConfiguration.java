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
 * The configuration in force on this node, received from the store or from a peer.
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

  /** A configuration with its lookup indexes. */
  private record View(
      Configuration configuration, ConfiguredUpstreams upstreams, Workspaces workspaces) {
    static View of(Configuration configuration) {
      return new View(
          configuration, ConfiguredUpstreams.of(configuration), Workspaces.of(configuration));
    }
  }

  /**
   * Creates a holder of the empty configuration.
   *
   * @param events receives an event for each configuration that comes into force
   * @param clock the node's monotonic clock, nanoseconds
   */
  public NodeConfiguration(Consumer<Event> events, LongSupplier clock) {
    this.events = events;
    this.clock = clock;
  }

  /**
   * Sets the listener that is notified of each configuration that comes into force.
   *
   * @param newListener called in ascending order of revision, while the lock is held; must not
   *     block
   */
  public void setListener(Consumer<Configuration> newListener) {
    listener = newListener;
  }

  /**
   * Brings a configuration into force, unless the one in force has the same or a later revision.
   *
   * @param configuration a configuration that was accepted
   * @return true if it was brought into force
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
   * Returns the configuration in force.
   *
   * @return the configuration, never null
   */
  public Configuration current() {
    return view.configuration;
  }

  /**
   * Returns the revision in force.
   *
   * @return the revision; {@link Revision#NONE} before the first configuration
   */
  public Revision revision() {
    return view.configuration.revision();
  }

  /**
   * Returns the index of the workspaces in force.
   *
   * @return the index, never null
   */
  public Workspaces workspaces() {
    return view.workspaces;
  }

  @Override
  public Optional<UpstreamAddress> find(UpstreamName name) {
    return view.upstreams.find(name);
  }
}
