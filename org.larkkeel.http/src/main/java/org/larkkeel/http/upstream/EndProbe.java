/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.larkkeel.relay.ProbeResult;
import org.xnio.XnioIoThread;

/**
 * Probes whether an upstream that has closed a connection in order still listens.
 *
 * <p>The connections of a process that was killed are closed like those of one that has written all
 * of its answer, so only what listens afterwards tells them apart. Confined to its I/O thread.
 *
 * @since 0.1
 */
public final class EndProbe {
  /**
   * The time from the end of a connection to the probe, as the system closes the descriptors of a
   * killed process one after the other.
   */
  private static final long DELAY_MILLIS = 25;

  private final XnioIoThread thread;
  private final ConnectProbe probe;

  /** Creates a probe that runs on the given I/O thread. */
  public EndProbe(XnioIoThread thread) {
    this.thread = thread;
    this.probe = new ConnectProbe(thread);
  }

  /**
   * Probes an upstream that has just closed a connection.
   *
   * @param upstream the address of the upstream
   * @param done receives the result, exactly once, on the I/O thread
   */
  public void start(InetSocketAddress upstream, Consumer<ProbeResult> done) {
    thread.executeAfter(() -> probe.start(upstream, done), DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }
}
