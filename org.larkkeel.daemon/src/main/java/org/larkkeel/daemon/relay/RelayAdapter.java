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
import org.larkkeel.store.ParseResult;
import org.larkkeel.store.Scheduler;
import org.larkkeel.store.StoredObject;
import org.xnio.XnioWorker;

/**
 * Translates between a relay node and the platform on which it runs.
 *
 * <p>Implementations are stateless, make no decisions and are thread-safe.
 *
 * @since 0.1
 */
public interface RelayAdapter {
  /** Returns the HTTP dialect of callers and upstreams. */
  RelayDialect dialect();

  /** Returns a client of the store. */
  ObjectApi store(HttpClientOptions options, XnioWorker worker, Scheduler scheduler);

  /** Returns the name of the collection that holds the configuration. */
  String configurationCollection();

  /** Returns the name of the collection that holds the upstreams. */
  String upstreamCollection();

  /**
   * Reads the configuration; empty if there is none.
   *
   * @param objects the objects of the configuration collection
   */
  Optional<ParseResult<RelayConfiguration>> configuration(
      ImmutableCollection<StoredObject> objects);

  /**
   * Reads an upstream. Never throws: an unreadable object is returned with its problem.
   *
   * @param object an object of the upstream collection
   */
  ParseResult<RelayUpstream> upstream(StoredObject object);
}
