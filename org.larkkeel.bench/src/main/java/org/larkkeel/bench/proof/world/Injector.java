/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

import com.google.common.primitives.ImmutableLongArray;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.larkkeel.event.Event;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;

/**
 * Injects the faults of a run, each when its injection point is first reached.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class Injector {
  private static final long RESTART_DELAY_NANOS = 3 * VirtualTime.SECOND;
  private static final long FAULT_NANOS = 5 * VirtualTime.SECOND;
  private static final long STALL_NANOS = 4 * VirtualTime.SECOND;
  private static final long PAUSE_NANOS = 10 * VirtualTime.SECOND;
  private static final long OUTAGE_NANOS = 2 * VirtualTime.SECOND;
  private static final long ANSWER_LOSS_NANOS = 300 * VirtualTime.MILLI;
  private static final long STALE_SEQUENCE = 1_000;

  private final World world;
  private final Set<Injection> pending;
  private final Set<InjectionPoint> reachedPoints = new LinkedHashSet<>();
  private long faultsEndedAt;
  private boolean armed;

  Injector(World world, List<Injection> injections) {
    this.world = world;
    this.pending = new LinkedHashSet<>(injections);
  }

  /** Enables the injection of faults. */
  void arm() {
    armed = true;
  }

  /** Disables the injection of faults. */
  void disarm() {
    armed = false;
  }

  /**
   * Returns the points that were reached while armed, in the order in which they were first
   * reached.
   */
  Set<InjectionPoint> reachedPoints() {
    return reachedPoints;
  }

  boolean hasInjectedAll() {
    return pending.isEmpty();
  }

  /**
   * Returns the time at which the last fault ends; 0 if no fault with a recovery time was injected.
   */
  long faultsEndedAt() {
    return faultsEndedAt;
  }

  /**
   * Records that a point was reached, and injects the faults that are pending there. Points of
   * requests other than the subjects are ignored.
   */
  void reach(InjectionPoint point, Node node, RequestId request, UpstreamName upstream) {
    if (!armed || (request != null && !world.isSubject(request))) {
      return;
    }
    reachedPoints.add(point);
    for (Injection injection : List.copyOf(pending)) {
      if (injection.point().equals(point)) {
        pending.remove(injection);
        inject(injection.fault(), node, upstream);
      }
    }
  }

  private void inject(Fault fault, Node node, UpstreamName upstream) {
    switch (fault) {
      case NODE_DEATH -> {
        node.kill();
        extendFaults(RESTART_DELAY_NANOS);
      }
      case UPSTREAM_DEATH -> killUpstream(world.engine(upstream));
      case UPSTREAM_RESTART -> restartUpstream(world.engine(upstream));
      case UPSTREAM_UNREACHABLE ->
          injectFor(OUTAGE_NANOS, active -> world.engine(upstream).setReachable(!active));
      case TRANSFER_STALL -> injectFor(STALL_NANOS, world::setLinkStalled);
      case KV_EVICTED -> world.engines().forEach(Engine::evictCaches);
      case CALLER_CANCEL -> world.platform().execute(world::disconnectSubjects);
      case STORE_DOWN -> storeDown();
      case STORE_SLOW -> injectFor(FAULT_NANOS, world.storeFaults()::setSlow);
      case ANSWER_LOST -> injectFor(ANSWER_LOSS_NANOS, world.storeFaults()::setLosingAnswers);
      case LEASE_LAPSED -> pause(node);
      case OPERATORS_RACING -> {
        world.changeConfiguration(0, Optional.of(new UpstreamName("decode-c")));
        world.changeConfiguration(1, Optional.empty());
      }
      case PEER_LOST -> injectFor(FAULT_NANOS, world.peerFaults()::setLost);
      case PEER_DELAYED -> injectFor(FAULT_NANOS, world.peerFaults()::setDelayed);
      case PEER_DOUBLED -> injectFor(FAULT_NANOS, world.peerFaults()::setDuplicated);
      case PEER_CROSSED -> injectFor(FAULT_NANOS, world.peerFaults()::setReordered);
      case UPSTREAM_LEAVING -> world.changeConfiguration(0, Optional.of(upstream));
      case ANSWERS_LATE -> injectFor(FAULT_NANOS, world::setAnswersLate);
      case STALE_LOAD -> injectFor(FAULT_NANOS, world::setLoadStale);
      case STALE_CACHE -> world.platform().execute(() -> staleCache(node, upstream));
      default -> throw new IllegalStateException("unknown fault: " + fault);
    }
  }

  private void killUpstream(Engine engine) {
    engine.kill();
    world.platform().after(RESTART_DELAY_NANOS, engine::restart);
    extendFaults(RESTART_DELAY_NANOS);
  }

  private void restartUpstream(Engine engine) {
    engine.kill();
    engine.restart();
    extendFaults(0);
  }

  private void storeDown() {
    injectFor(FAULT_NANOS, world.storeFaults()::setDown);
    world.store().notifyWatches();
  }

  private void pause(Node node) {
    node.process.pause();
    world.platform().after(PAUSE_NANOS, node.process::resume);
    extendFaults(PAUSE_NANOS);
  }

  private void staleCache(Node node, UpstreamName upstream) {
    ImmutableLongArray keys = ImmutableLongArray.of(1, 2, 3);
    long now = world.time().now();
    Incarnation earlier = new Incarnation(0);
    Incarnation present = world.engine(upstream).incarnation();
    ImmutableLongArray none = ImmutableLongArray.of();
    node.apply(new Event.CacheChanged(now, upstream, present, STALE_SEQUENCE, keys, none));
    node.apply(new Event.CacheChanged(now, upstream, earlier, 1, keys, none));
    node.apply(new Event.CacheChanged(now, upstream, present, 1, none, keys));
  }

  private void injectFor(long nanos, Consumer<Boolean> setActive) {
    setActive.accept(true);
    world.platform().after(nanos, () -> setActive.accept(false));
    extendFaults(nanos);
  }

  private void extendFaults(long nanos) {
    faultsEndedAt = Math.max(faultsEndedAt, world.time().now() + nanos);
  }
}
