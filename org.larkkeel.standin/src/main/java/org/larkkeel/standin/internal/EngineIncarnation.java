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
 * One run of an engine, from its start until it is killed.
 *
 * <p>Invariant: an incarnation has a greater number than all earlier incarnations of any engine in
 * the process. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class EngineIncarnation implements AutoCloseable {
  private static final AtomicLong LAST_NUMBER = new AtomicLong();

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
   * @param faults the injected faults
   * @param ledger the record of requests, shared by all incarnations of the engine
   * @param controls the control endpoint
   */
  public EngineIncarnation(
      EngineSettings settings,
      InetSocketAddress bind,
      EngineFaults faults,
      EngineLedger ledger,
      Controls controls) {
    this.controls = controls;
    state = new EngineState(settings, nextNumber(), faults, ledger);
    routes = new EngineRoutes(state);
    server = new StandinServer(bind, EngineMessages.MAPPER, this::handle);
    routes.setAddress(server.address());
    workers = new EngineWorkers(state);
  }

  /**
   * Returns the address that the engine listens on.
   *
   * @return the address with the actual port
   */
  public InetSocketAddress address() {
    return server.address();
  }

  /**
   * Returns the number of this incarnation.
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

  /** Ends the incarnation abruptly: all connections are closed and all state is lost. */
  @Override
  public void close() {
    state.kill();
    server.close();
    workers.close();
  }

  private void handle(Call call) throws IOException, InterruptedException {
    if (controls.handle(call)) {
      return;
    }
    state.faults.gate.awaitOpen();
    routes.handle(call);
  }

  private static long nextNumber() {
    return LAST_NUMBER.updateAndGet(last -> Math.max(last + 1, System.currentTimeMillis()));
  }
}
