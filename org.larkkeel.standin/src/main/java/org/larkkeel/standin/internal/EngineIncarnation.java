/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;
import org.larkkeel.standin.EngineLedger;
import org.larkkeel.standin.EngineSettings;

/**
 * One run of an engine, from its start to its kill.
 *
 * <p>Invariant: a later incarnation of the process has a greater number. Safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class EngineIncarnation implements AutoCloseable {
  private static final AtomicLong LAST = new AtomicLong();

  private final EngineState state;
  private final EngineWorkers workers;
  private final EngineRoutes routes;
  private final Controls controls;
  private final StandinServer server;

  /**
   * Starts an incarnation.
   *
   * @param settings the settings
   * @param bind the address to listen on
   * @param faults the faults
   * @param ledger records what is seen
   * @param controls the control endpoint
   */
  public EngineIncarnation(
      EngineSettings settings,
      InetSocketAddress bind,
      EngineFaults faults,
      EngineLedger ledger,
      Controls controls) {
    this.controls = controls;
    state = new EngineState(settings, nextIncarnation(), faults, ledger);
    routes = new EngineRoutes(state);
    server = new StandinServer(bind, EngineMessages.MAPPER, this::handle);
    routes.serveAt(server.address());
    workers = new EngineWorkers(state);
  }

  /**
   * The address.
   *
   * @return the address with the real port
   */
  public InetSocketAddress address() {
    return server.address();
  }

  /**
   * The number of this incarnation.
   *
   * @return the number
   */
  public long number() {
    return state.incarnation;
  }

  /** Drops all KV caches and the prefix cache. */
  public void evictAll() {
    state.evictAll();
  }

  /** Ends abruptly: connections are closed and all state is lost. */
  @Override
  public void close() {
    state.die();
    server.close();
    workers.close();
  }

  private void handle(Call call) throws IOException, InterruptedException {
    if (controls.handle(call)) {
      return;
    }
    state.faults.gate.pass();
    routes.handle(call);
  }

  private static long nextIncarnation() {
    return LAST.updateAndGet(last -> Math.max(last + 1, System.currentTimeMillis()));
  }
}
