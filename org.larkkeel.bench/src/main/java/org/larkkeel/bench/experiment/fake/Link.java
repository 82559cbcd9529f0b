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
 * The link of one engine; the transfers on it share its rate evenly.
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

  /** One KV cache on its way over the links of both its engines. */
  static final class Transfer {
    private final Timeline time;
    private final Link source;
    private final Link target;
    private final Runnable done;
    private double remaining;
    private double rate;
    private long since;
    private Timer timer;

    /** Begins a transfer; {@code done} runs when the last byte is there. */
    Transfer(Link source, Link target, double bytes, Runnable done) {
      this.time = source.time;
      this.source = source;
      this.target = target;
      this.done = done;
      this.remaining = bytes;
      this.since = time.now();
      source.transfers.add(this);
      target.transfers.add(this);
      source.share();
      target.share();
    }

    /** Ends the transfer early; of no effect once it is over. */
    void stop() {
      Timeline.cancel(timer);
      if (source.transfers.remove(this)) {
        target.transfers.remove(this);
        source.share();
        target.share();
      }
    }

    private void adapt() {
      long now = time.now();
      remaining -= rate * (now - since) / Scenario.SECOND;
      since = now;
      rate = Math.min(source.rateEach(), target.rateEach());
      Timeline.cancel(timer);
      if (rate > 0) {
        double wait = Math.max(0, remaining) / rate * Scenario.SECOND;
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
    share();
  }

  void unstall() {
    stalls--;
    share();
  }

  private double rateEach() {
    return stalls > 0 ? 0 : bytesPerSecond / transfers.size();
  }

  private void share() {
    for (Transfer transfer : ImmutableSet.copyOf(transfers)) {
      transfer.adapt();
    }
  }
}
