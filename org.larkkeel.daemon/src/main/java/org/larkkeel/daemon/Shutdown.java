/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/**
 * Stops a daemon on signals: the first SIGTERM or SIGINT starts a drain, a second one ends it
 * immediately.
 *
 * <p>Signal handlers are used because the JVM's shutdown hooks run only once and cannot detect a
 * second signal. Safe for use by several threads.
 */
final class Shutdown {
  private static final Logger log = LoggerFactory.getLogger(Shutdown.class);
  private static final String[] SIGNALS = {"TERM", "INT"};

  private final Daemon daemon;
  private final CountDownLatch drained = new CountDownLatch(1);
  private final AtomicInteger signals = new AtomicInteger();

  Shutdown(Daemon daemon) {
    this.daemon = daemon;
  }

  /** Waits for the end of a drain, started by a signal or an operator; returns the exit status. */
  int awaitEnd() {
    for (String name : SIGNALS) {
      Signal.handle(new Signal(name), signal -> onSignal(signal.getName()));
    }
    var unused = daemon.whenDrained().thenRun(drained::countDown);
    try {
      drained.await();
      daemon.close();
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 1;
    } catch (Exception e) {
      log.error("event=stop_failed", e);
      return 1;
    }
  }

  private void onSignal(String name) {
    log.info("event=signal name={}", name);
    if (signals.incrementAndGet() == 1) {
      var unused = daemon.drain();
    } else {
      daemon.finishDrainNow();
    }
  }
}
