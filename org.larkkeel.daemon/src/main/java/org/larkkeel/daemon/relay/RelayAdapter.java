/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableCollection;
import java.util.Optional;
import org.larkkeel.http.relay.RelayDialect;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.store.HttpClientOptions;
import org.larkkeel.store.ObjectApi;
import org.larkkeel.store.Reading;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.StoredObject;
import org.xnio.XnioWorker;

/**
 * What a relay node needs translated from the surroundings in which it runs.
 *
 * <p>Implementations keep nothing and decide nothing, and are safe for use by several threads.
 *
 * @since 0.1
 */
public interface RelayAdapter {
  /** The words of callers and upstreams. */
  RelayDialect dialect();

  /** The store. */
  ObjectApi store(HttpClientOptions options, XnioWorker worker, Scheduler scheduler);

  /** The collection that holds the configuration. */
  String configurationCollection();

  /** The collection that holds the upstreams. */
  String upstreamCollection();

  /**
   * The configuration among objects; empty if there is none.
   *
   * @param objects the objects of its collection
   */
  Optional<Reading<RelayConfiguration>> configuration(ImmutableCollection<StoredObject> objects);

  /**
   * An upstream. Never throws: what can not be read says why.
   *
   * @param object an object of its collection
   */
  Reading<RelayUpstream> upstream(StoredObject object);
}
