/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.larkkeel.config.Role;
import org.larkkeel.event.Event;
import org.larkkeel.event.Exposure;
import org.larkkeel.event.FailureCause;
import org.larkkeel.event.LoadReport;
import org.larkkeel.http.upstream.EngineRequestId;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;

/**
 * A prefill or decode engine, or a plain service, as the protocol page describes them.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class Engine {
  private static final long PREFILL = 60 * VirtualTime.MILLI;
  private static final long TRANSFER = 20 * VirtualTime.MILLI;
  private static final long TOKEN = 50 * VirtualTime.MILLI;
  private static final long SERVICE_TIME = 40 * VirtualTime.MILLI;
  private static final long KV_HOLD = 800 * VirtualTime.MILLI;
  private static final long STALL_POLL = 20 * VirtualTime.MILLI;
  private static final long KV_BYTES = 4_000_000;
  private static final int KV_PIECES = 256;

  final UpstreamName name;
  final Role role;
  private final World world;
  private final int slots;
  private final Map<EngineRequestId, Holding> holdings = new LinkedHashMap<>();
  private long incarnation = 1;
  private boolean alive = true;
  private boolean reachable = true;
  private long highestFence;
  private long cacheSequence;

  /** Memory, and for decodes a slot, held for an attempt. */
  private static final class Holding {
    private final Job job;
    private final Observations.Held record;
    private boolean held;
    private boolean over;

    Holding(Job job, Observations.Held record) {
      this.job = job;
      this.record = record;
    }
  }

  /**
   * What a node asks for.
   *
   * @param origin names the attempt
   * @param request the request
   * @param identity whose answer it is
   * @param length pieces of the whole answer
   * @param reply the way back
   */
  record Job(EngineRequestId origin, RequestId request, String identity, int length, Reply reply) {}

  Engine(World world, UpstreamName name, Role role, int slots) {
    this.world = world;
    this.name = name;
    this.role = role;
    this.slots = slots;
  }

  boolean answers() {
    return alive && reachable;
  }

  Incarnation incarnation() {
    return new Incarnation(incarnation);
  }

  void kill() {
    if (!alive) {
      return;
    }
    alive = false;
    List<Holding> lost = List.copyOf(holdings.values());
    lost.forEach(this::release);
    lost.stream()
        .filter(h -> !h.held)
        .forEach(h -> h.job.reply().fail(FailureCause.CONNECTION_LOST, Exposure.MAY_HAVE_RUN));
  }

  void restart() {
    if (!alive) {
      alive = true;
      incarnation++;
      cacheSequence = 0;
      highestFence = 0;
    }
  }

  /** Cuts the connections with the nodes, or lets new ones be made; the engine itself goes on. */
  void setReachable(boolean reaches) {
    reachable = reaches;
    if (!reaches) {
      holdings.values().stream()
          .filter(h -> !h.held)
          .forEach(h -> h.job.reply().fail(FailureCause.CONNECTION_LOST, Exposure.MAY_HAVE_RUN));
    }
  }

  /** Drops every KV cache that waits for its transfer. */
  void evictHeld() {
    List.copyOf(holdings.values()).stream().filter(h -> h.held).forEach(this::release);
  }

  void prefill(Job job) {
    if (refuses(job)) {
      return;
    }
    Holding h = hold(job);
    later(
        PREFILL,
        h,
        () -> {
          h.held = true;
          cacheSequence++;
          world.publishCache(this, cacheSequence);
          job.reply().end(at -> new Event.PrefillDone(at, job.origin().attempt(), KV_BYTES, 0));
          later(KV_HOLD, h, () -> release(h));
        });
  }

  void transfer(Job job, EngineRequestId prefill, Engine source) {
    if (refuses(job)) {
      return;
    }
    if (holdings.size() >= slots) {
      job.reply().fail(FailureCause.NO_SLOT, Exposure.REFUSED);
      return;
    }
    Holding h = hold(job);
    later(TRANSFER, h, () -> arrive(h, prefill, source));
  }

  private void arrive(Holding h, EngineRequestId prefill, Engine source) {
    if (world.isLinkStalled()) {
      later(STALL_POLL, h, () -> arrive(h, prefill, source));
      return;
    }
    Holding from = source.holdings.get(prefill);
    if (from == null) {
      release(h);
      h.job.reply().fail(FailureCause.KV_EVICTED, Exposure.REFUSED);
      return;
    }
    source.release(from);
    h.held = true;
    h.job.reply().end(at -> new Event.TransferDone(at, h.job.origin().attempt()));
  }

  void decode(Job job, int resumeFrom) {
    if (refuses(job)) {
      return;
    }
    Holding imported = holdings.remove(job.origin());
    if (imported == null || !imported.held) {
      job.reply().fail(FailureCause.KV_EVICTED, Exposure.REFUSED);
      return;
    }
    Holding h = new Holding(job, imported.record);
    holdings.put(job.origin(), h);
    job.reply().taken();
    token(h, resumeFrom);
  }

  private void token(Holding h, int index) {
    later(
        TOKEN,
        h,
        () -> {
          h.job.reply().piece(new CallerRecord.Piece(h.job.identity(), index));
          if (index + 1 < h.job.length()) {
            token(h, index + 1);
            return;
          }
          release(h);
          int tokens = index + 1;
          h.job.reply().end(at -> new Event.DecodeDone(at, h.job.origin().attempt(), tokens));
        });
  }

  /** Serves a plain call; what it did stays done when the connection breaks. */
  void serve(Job job, boolean repeatable) {
    if (refuses(job)) {
      return;
    }
    Holding h = hold(job);
    world.seen().executed(new Observations.Execution(job.identity(), job.request(), repeatable));
    later(
        SERVICE_TIME,
        h,
        () -> {
          release(h);
          job.reply().piece(new CallerRecord.Piece(job.identity(), 0));
          job.reply().end(at -> new Event.PlainDone(at, job.origin().attempt()));
        });
  }

  /** Frees whatever is held for an attempt. */
  void cancel(EngineRequestId origin) {
    Holding h = holdings.get(origin);
    if (h != null) {
      release(h);
    }
  }

  List<EngineRequestId> held() {
    return List.copyOf(holdings.keySet());
  }

  /** Carries out an order unless a higher fencing number came before. */
  boolean order(long fence) {
    if (!answers() || fence < highestFence) {
      return false;
    }
    highestFence = fence;
    world.seen().ordered(new Observations.OrderTaken(name, fence, world.time().now()));
    return true;
  }

  LoadReport report() {
    int used = holdings.size();
    return new LoadReport(
        incarnation(),
        world.time().now(),
        slots,
        used,
        0,
        KV_PIECES,
        KV_PIECES - used,
        ImmutableSet.<ModelName>of());
  }

  private boolean refuses(Job job) {
    if (answers()) {
      return false;
    }
    job.reply().fail(FailureCause.CONNECT_FAILED, Exposure.NOT_SENT);
    return true;
  }

  private Holding hold(Job job) {
    long now = world.time().now();
    world.seen().took(name, job.request(), now);
    Holding h = new Holding(job, world.seen().hold(name, job.request(), now));
    holdings.put(job.origin(), h);
    job.reply().taken();
    return h;
  }

  private void release(Holding h) {
    if (holdings.remove(h.job.origin(), h)) {
      h.over = true;
      h.record.until = world.time().now();
    }
  }

  private void later(long nanos, Holding h, Runnable step) {
    world
        .platform()
        .after(
            nanos,
            () -> {
              if (!h.over) {
                step.run();
              }
            });
  }
}
