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
 * A stand-in for a model engine, with fault injection.
 *
 * <p>Invariant: at most one incarnation runs at a time; the address does not change when the engine
 * restarts. Each fault can also be injected over HTTP: {@code POST
 * /control/kill?restart_after_millis=n}, {@code stall?on=1}, {@code drain?on=1}, {@code
 * freeze?on=1}, {@code evict-all}, {@code fail-next?count=n}; {@code GET /control/ledger} returns
 * the ledger. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class EngineStandin implements AutoCloseable {
  private final EngineSettings settings;
  private final EngineLedger ledger = new EngineLedger();
  private final EngineFaults faults = new EngineFaults();
  private final Controls controls;
  private InetSocketAddress address;
  private EngineIncarnation latest;

  private EngineStandin(EngineSettings settings) {
    this.settings = settings;
    address = settings.bind();
    controls =
        Controls.builder()
            .action(
                "kill", call -> killAsynchronously(call.queryNumber("restart_after_millis", -1)))
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
   * Returns the address that the engine listens on.
   *
   * @return the address with the actual port
   */
  public synchronized InetSocketAddress address() {
    return address;
  }

  /**
   * Returns the settings.
   *
   * @return the settings that the engine was started with
   */
  public EngineSettings settings() {
    return settings;
  }

  /**
   * Returns the record of the requests that the engine executed.
   *
   * @return the ledger, which is kept over restarts
   */
  public EngineLedger ledger() {
    return ledger;
  }

  /**
   * Returns the number of the latest incarnation.
   *
   * @return the number; a kill does not change it, the next restart does
   */
  public synchronized long incarnation() {
    return latest.number();
  }

  /** Closes the listener and all connections abruptly and discards all state. */
  public synchronized void kill() {
    latest.close();
  }

  /** Kills the engine if it is running and starts a new incarnation on the same port. */
  public synchronized void restart() {
    if (latest != null) {
      latest.close();
    }
    latest = new EngineIncarnation(settings, address, faults, ledger, controls);
    address = latest.address();
  }

  /**
   * Stops or resumes the progress of KV transfers into this engine.
   *
   * @param on true to stop the progress
   */
  public void stallTransfers(boolean on) {
    faults.transfersStalled = on;
  }

  /**
   * Starts or ends the refusal of new requests with 503 {@code draining}.
   *
   * @param on true to refuse new requests
   */
  public void drain(boolean on) {
    faults.draining = on;
  }

  /**
   * Freezes or resumes the engine. A frozen engine does no work and sends no answer, but keeps its
   * connections open; {@code /control/} calls still work.
   *
   * @param on true to freeze
   */
  public void freeze(boolean on) {
    faults.gate.setClosed(on);
  }

  /**
   * Makes the next prefills, imports and decodes fail with 500.
   *
   * @param count the number of requests that fail
   */
  public void failNext(int count) {
    faults.failNext(count);
  }

  /** Drops all KV caches and the prefix cache. */
  public synchronized void evictAll() {
    latest.evictAll();
  }

  @Override
  public void close() {
    kill();
    freeze(false);
  }

  private void killAsynchronously(long restartAfterMillis) {
    Thread.startVirtualThread(() -> killAndRestart(restartAfterMillis));
  }

  private void killAndRestart(long restartAfterMillis) {
    kill();
    if (restartAfterMillis < 0) {
      return;
    }
    try {
      Thread.sleep(restartAfterMillis);
      restart();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
