/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fake;

import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashSet;
import java.util.Set;
import org.larkkeel.bench.experiment.fake.Timeline.Timer;
import org.larkkeel.bench.experiment.scenario.Scenario;

/**
 * The network link of one engine, whose rate is shared evenly by its transfers.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class Link {
  private final Timeline time;
  private final double bytesPerSecond;
  private final Set<Transfer> transfers = new LinkedHashSet<>();
  private int stalls;

  Link(Timeline time, double bytesPerSecond) {
    this.time = time;
    this.bytesPerSecond = bytesPerSecond;
  }

  /** The transfer of a KV cache over the links of two engines. */
  static final class Transfer {
    private final Timeline time;
    private final Link source;
    private final Link target;
    private final Runnable done;
    private double remaining;
    private double rate;
    private long updatedAt;
    private Timer timer;

    /** Starts a transfer; {@code done} runs after the last byte has arrived. */
    Transfer(Link source, Link target, double bytes, Runnable done) {
      this.time = source.time;
      this.source = source;
      this.target = target;
      this.done = done;
      this.remaining = bytes;
      this.updatedAt = time.now();
      source.transfers.add(this);
      target.transfers.add(this);
      source.updateTransfers();
      target.updateTransfers();
    }

    /** Stops the transfer; has no effect after its end. */
    void stop() {
      Timeline.cancel(timer);
      if (source.transfers.remove(this)) {
        target.transfers.remove(this);
        source.updateTransfers();
        target.updateTransfers();
      }
    }

    private void updateRate() {
      long now = time.now();
      remaining -= rate * (now - updatedAt) / Scenario.NANOS_PER_SECOND;
      updatedAt = now;
      rate = Math.min(source.ratePerTransfer(), target.ratePerTransfer());
      Timeline.cancel(timer);
      if (rate > 0) {
        double wait = Math.max(0, remaining) / rate * Scenario.NANOS_PER_SECOND;
        timer = time.after((long) Math.ceil(wait), this::finish);
      }
    }

    private void finish() {
      stop();
      done.run();
    }
  }

  void stall() {
    stalls++;
    updateTransfers();
  }

  void unstall() {
    stalls--;
    updateTransfers();
  }

  private double ratePerTransfer() {
    return stalls > 0 ? 0 : bytesPerSecond / transfers.size();
  }

  private void updateTransfers() {
    for (Transfer transfer : ImmutableSet.copyOf(transfers)) {
      transfer.updateRate();
    }
  }
}
