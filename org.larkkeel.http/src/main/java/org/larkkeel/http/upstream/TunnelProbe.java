/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.larkkeel.relay.ProbeResult;
import org.xnio.XnioIoThread;

/**
 * Waits for a new connection of a pool and returns it at once.
 *
 * <p>Invariant: the result is delivered once. Safe for use by several threads.
 */
final class TunnelProbe implements ConnectionPool.Waiter {
  private final Consumer<ProbeResult> done;
  private final AtomicBoolean ended = new AtomicBoolean();

  TunnelProbe(Consumer<ProbeResult> done) {
    this.done = done;
  }

  void start(ConnectionPool pool, XnioIoThread thread, Duration timeout) {
    thread.executeAfter(() -> end(ProbeResult.SILENT), timeout.toNanos(), TimeUnit.NANOSECONDS);
    pool.acquire(this);
  }

  private void end(ProbeResult result) {
    if (ended.compareAndSet(false, true)) {
      done.accept(result);
    }
  }

  @Override
  public void onConnecting() {}

  @Override
  public void onConnection(PooledConnection connection) {
    connection.release(true);
    end(ProbeResult.LISTENS);
  }

  @Override
  public void onUnavailable(String detail) {
    end(ProbeResult.SILENT);
  }

  @Override
  public void onConnectFailed(ConnectFailure failure, String detail) {
    end(failure == ConnectFailure.REFUSED ? ProbeResult.REFUSES : ProbeResult.SILENT);
  }

  @Override
  public boolean isAbandoned() {
    return ended.get();
  }

  @Override
  public boolean isUrgent() {
    return true;
  }

  @Override
  public boolean accepts(PooledConnection used) {
    return false;
  }
}
