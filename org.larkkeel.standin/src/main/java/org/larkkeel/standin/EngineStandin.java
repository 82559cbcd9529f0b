/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

import java.net.InetSocketAddress;
import org.larkkeel.standin.internal.Controls;
import org.larkkeel.standin.internal.EngineFaults;
import org.larkkeel.standin.internal.EngineIncarnation;

/**
 * A stand-in for a model engine, with faults on demand.
 *
 * <p>Invariant: at most one incarnation runs at a time; the address stays the same over restarts.
 * All faults are also controls: {@code POST /control/kill?restart_after_millis=n}, {@code
 * stall?on=1}, {@code drain?on=1}, {@code freeze?on=1}, {@code evict-all}, {@code
 * fail-next?count=n}; {@code GET /control/ledger} shows the ledger. Safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class EngineStandin implements AutoCloseable {
  private final EngineSettings settings;
  private final EngineLedger ledger = new EngineLedger();
  private final EngineFaults faults = new EngineFaults();
  private final Controls controls;
  private InetSocketAddress address;
  private EngineIncarnation running;

  private EngineStandin(EngineSettings settings) {
    this.settings = settings;
    address = settings.bind();
    controls =
        Controls.builder()
            .action("kill", call -> killSoon(call.queryNumber("restart_after_millis", -1)))
            .action("stall", call -> stallTransfers(call.queryNumber("on", 1) != 0))
            .action("drain", call -> drain(call.queryNumber("on", 1) != 0))
            .action("freeze", call -> freeze(call.queryNumber("on", 1) != 0))
            .action("evict-all", call -> evictAll())
            .action("fail-next", call -> failNext((int) call.queryNumber("count", 1)))
            .view("ledger", call -> ledger.snapshot())
            .build();
  }

  /**
   * Starts an engine.
   *
   * @param settings the settings, never null
   * @return the running engine
   */
  public static EngineStandin start(EngineSettings settings) {
    EngineStandin engine = new EngineStandin(settings);
    engine.restart();
    return engine;
  }

  /**
   * The address.
   *
   * @return the address with the real port
   */
  public synchronized InetSocketAddress address() {
    return address;
  }

  /**
   * The settings.
   *
   * @return the settings it was started with
   */
  public EngineSettings settings() {
    return settings;
  }

  /**
   * What the engine saw.
   *
   * @return the ledger, which goes on over restarts
   */
  public EngineLedger ledger() {
    return ledger;
  }

  /**
   * The number of the latest incarnation.
   *
   * @return the number; it stays after a kill until the next start
   */
  public synchronized long incarnation() {
    return running.number();
  }

  /** Closes the listener and all connections abruptly and loses all state. */
  public synchronized void kill() {
    running.close();
  }

  /** Kills the engine if it runs and starts it with a new incarnation on the same port. */
  public synchronized void restart() {
    if (running != null) {
      running.close();
    }
    running = new EngineIncarnation(settings, address, faults, ledger, controls);
    address = running.address();
  }

  /**
   * Lets transfers into this engine make no progress.
   *
   * @param on true to stall
   */
  public void stallTransfers(boolean on) {
    faults.stalled = on;
  }

  /**
   * Lets the engine refuse new requests with 503 {@code draining}.
   *
   * @param on true to refuse
   */
  public void drain(boolean on) {
    faults.draining = on;
  }

  /**
   * Lets the engine do nothing and answer nothing, with connections open.
   *
   * @param on true to freeze
   */
  public void freeze(boolean on) {
    faults.gate.shut(on);
  }

  /**
   * Lets the next prefills, imports and decodes fail with 500.
   *
   * @param count how many fail
   */
  public void failNext(int count) {
    faults.failNext(count);
  }

  /** Drops all KV caches and the prefix cache. */
  public synchronized void evictAll() {
    running.evictAll();
  }

  @Override
  public void close() {
    kill();
    freeze(false);
  }

  private void killSoon(long restartAfterMillis) {
    Thread.startVirtualThread(() -> killAndRestart(restartAfterMillis));
  }

  private void killAndRestart(long afterMillis) {
    kill();
    if (afterMillis < 0) {
      return;
    }
    try {
      Thread.sleep(afterMillis);
      restart();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
