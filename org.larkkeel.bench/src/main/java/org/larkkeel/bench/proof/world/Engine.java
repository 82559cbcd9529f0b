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
 * A fake of a prefill engine, a decode engine or a plain service that follows the upstream
 * protocol.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class Engine {
  private static final long PREFILL_NANOS = 60 * VirtualTime.MILLI;
  private static final long TRANSFER_NANOS = 20 * VirtualTime.MILLI;
  private static final long TOKEN_NANOS = 50 * VirtualTime.MILLI;
  private static final long SERVICE_NANOS = 40 * VirtualTime.MILLI;
  private static final long KV_LIFETIME_NANOS = 800 * VirtualTime.MILLI;
  private static final long STALL_POLL_NANOS = 20 * VirtualTime.MILLI;
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

  /** Memory, and for decodes a slot, that the engine holds for an attempt. */
  private static final class Holding {
    private final Job job;
    private final Observations.HeldMemory record;
    private boolean awaitingNextStep;
    private boolean released;

    Holding(Job job, Observations.HeldMemory record) {
      this.job = job;
      this.record = record;
    }
  }

  /**
   * A request of a node to the engine.
   *
   * @param origin the identity of the attempt, with the node incarnation that sent it
   * @param request the request
   * @param identity the identity of the answer: the idempotency key, or the request if it has none
   * @param pieceCount the number of pieces of the complete answer
   * @param reply the channel for the answer
   */
  record Job(
      EngineRequestId origin, RequestId request, String identity, int pieceCount, Reply reply) {}

  Engine(World world, UpstreamName name, Role role, int slots) {
    this.world = world;
    this.name = name;
    this.role = role;
    this.slots = slots;
  }

  boolean isAvailable() {
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
        .filter(h -> !h.awaitingNextStep)
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

  /** Closes the connections to the nodes, or allows new ones. The engine itself keeps running. */
  void setReachable(boolean isReachable) {
    reachable = isReachable;
    if (!isReachable) {
      holdings.values().stream()
          .filter(h -> !h.awaitingNextStep)
          .forEach(h -> h.job.reply().fail(FailureCause.CONNECTION_LOST, Exposure.MAY_HAVE_RUN));
    }
  }

  /** Drops every KV cache that waits for its transfer or decode. */
  void evictCaches() {
    List.copyOf(holdings.values()).stream().filter(h -> h.awaitingNextStep).forEach(this::release);
  }

  void prefill(Job job) {
    if (failIfUnavailable(job)) {
      return;
    }
    Holding h = allocate(job);
    schedule(
        PREFILL_NANOS,
        h,
        () -> {
          h.awaitingNextStep = true;
          cacheSequence++;
          world.publishCache(this, cacheSequence);
          job.reply()
              .complete(at -> new Event.PrefillDone(at, job.origin().attempt(), KV_BYTES, 0));
          schedule(KV_LIFETIME_NANOS, h, () -> release(h));
        });
  }

  void transfer(Job job, EngineRequestId prefill, Engine source) {
    if (failIfUnavailable(job)) {
      return;
    }
    if (holdings.size() >= slots) {
      job.reply().fail(FailureCause.NO_SLOT, Exposure.REFUSED);
      return;
    }
    Holding h = allocate(job);
    schedule(TRANSFER_NANOS, h, () -> finishTransfer(h, prefill, source));
  }

  private void finishTransfer(Holding h, EngineRequestId prefill, Engine source) {
    if (world.isLinkStalled()) {
      schedule(STALL_POLL_NANOS, h, () -> finishTransfer(h, prefill, source));
      return;
    }
    Holding from = source.holdings.get(prefill);
    if (from == null) {
      release(h);
      h.job.reply().fail(FailureCause.KV_EVICTED, Exposure.REFUSED);
      return;
    }
    source.release(from);
    h.awaitingNextStep = true;
    h.job.reply().complete(at -> new Event.TransferDone(at, h.job.origin().attempt()));
  }

  void decode(Job job, int resumeFrom) {
    if (failIfUnavailable(job)) {
      return;
    }
    Holding imported = holdings.remove(job.origin());
    if (imported == null || !imported.awaitingNextStep) {
      job.reply().fail(FailureCause.KV_EVICTED, Exposure.REFUSED);
      return;
    }
    Holding h = new Holding(job, imported.record);
    holdings.put(job.origin(), h);
    job.reply().accepted();
    scheduleToken(h, resumeFrom);
  }

  private void scheduleToken(Holding h, int index) {
    schedule(
        TOKEN_NANOS,
        h,
        () -> {
          h.job.reply().sendPiece(new CallerRecord.Piece(h.job.identity(), index));
          if (index + 1 < h.job.pieceCount()) {
            scheduleToken(h, index + 1);
            return;
          }
          release(h);
          int tokens = index + 1;
          h.job.reply().complete(at -> new Event.DecodeDone(at, h.job.origin().attempt(), tokens));
        });
  }

  /** Serves a plain call. The call has run even if its connection breaks afterwards. */
  void serve(Job job, boolean repeatable) {
    if (failIfUnavailable(job)) {
      return;
    }
    Holding h = allocate(job);
    world
        .observations()
        .addExecution(new Observations.Execution(job.identity(), job.request(), repeatable));
    schedule(
        SERVICE_NANOS,
        h,
        () -> {
          release(h);
          job.reply().sendPiece(new CallerRecord.Piece(job.identity(), 0));
          job.reply().complete(at -> new Event.PlainDone(at, job.origin().attempt()));
        });
  }

  /** Frees the memory that is held for an attempt, if any. */
  void cancel(EngineRequestId origin) {
    Holding h = holdings.get(origin);
    if (h != null) {
      release(h);
    }
  }

  List<EngineRequestId> heldAttempts() {
    return List.copyOf(holdings.keySet());
  }

  /** Executes an order unless the engine is unavailable or has seen a higher fencing number. */
  boolean acceptOrder(long fence) {
    if (!isAvailable() || fence < highestFence) {
      return false;
    }
    highestFence = fence;
    world.observations().addOrder(new Observations.OrderTaken(name, fence, world.time().now()));
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

  private boolean failIfUnavailable(Job job) {
    if (isAvailable()) {
      return false;
    }
    job.reply().fail(FailureCause.CONNECT_FAILED, Exposure.NOT_SENT);
    return true;
  }

  private Holding allocate(Job job) {
    long now = world.time().now();
    world.observations().addWork(name, job.request(), now);
    Holding h = new Holding(job, world.observations().addHeldMemory(name, job.request(), now));
    holdings.put(job.origin(), h);
    job.reply().accepted();
    return h;
  }

  private void release(Holding h) {
    if (holdings.remove(h.job.origin(), h)) {
      h.released = true;
      h.record.until = world.time().now();
    }
  }

  private void schedule(long nanos, Holding h, Runnable step) {
    world
        .platform()
        .after(
            nanos,
            () -> {
              if (!h.released) {
                step.run();
              }
            });
  }
}
