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
 * Brings the faults of a run about, each when its step is reached first.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class Injector {
  private static final long RESTART = 3 * VirtualTime.SECOND;
  private static final long WINDOW = 5 * VirtualTime.SECOND;
  private static final long STALL = 4 * VirtualTime.SECOND;
  private static final long PAUSE = 10 * VirtualTime.SECOND;
  private static final long OUTAGE = 2 * VirtualTime.SECOND;
  private static final long LOSS = 300 * VirtualTime.MILLI;
  private static final long STALE_SEQUENCE = 1_000;

  private final World world;
  private final Set<Injection> waiting;
  private final Set<Place> places = new LinkedHashSet<>();
  private long healedAt;
  private boolean armed;

  Injector(World world, List<Injection> injections) {
    this.world = world;
    this.waiting = new LinkedHashSet<>(injections);
  }

  /** From now on steps count. */
  void arm() {
    armed = true;
  }

  /** From now on steps count no more. */
  void disarm() {
    armed = false;
  }

  /** The places that were reached. */
  Set<Place> places() {
    return places;
  }

  boolean hasInjectedAll() {
    return waiting.isEmpty();
  }

  /** When the last fault ended. */
  long healedAt() {
    return healedAt;
  }

  /** A place is reached. */
  void reached(Place place, Node node, RequestId request, UpstreamName upstream) {
    if (!armed || (request != null && !world.isSubject(request))) {
      return;
    }
    places.add(place);
    for (Injection injection : List.copyOf(waiting)) {
      if (injection.place().equals(place)) {
        waiting.remove(injection);
        inject(injection.fault(), node, upstream);
      }
    }
  }

  private void inject(Fault fault, Node node, UpstreamName upstream) {
    switch (fault) {
      case NODE_DEATH -> {
        node.kill();
        heals(RESTART);
      }
      case UPSTREAM_DEATH -> killUpstream(world.engine(upstream));
      case UPSTREAM_RESTART -> restartUpstream(world.engine(upstream));
      case UPSTREAM_UNREACHABLE ->
          window(OUTAGE, begins -> world.engine(upstream).setReachable(!begins));
      case TRANSFER_STALL -> window(STALL, world::setLinkStalled);
      case KV_EVICTED -> world.engines().forEach(Engine::evictHeld);
      case CALLER_CANCEL -> world.platform().execute(world::subjectLeaves);
      case STORE_DOWN -> storeDown();
      case STORE_SLOW -> window(WINDOW, world.storeFaults()::setSlow);
      case ANSWER_LOST -> window(LOSS, world.storeFaults()::setLosing);
      case LEASE_LAPSED -> pause(node);
      case OPERATORS_RACING -> {
        world.operate(0, Optional.of(new UpstreamName("decode-c")));
        world.operate(1, Optional.empty());
      }
      case PEER_LOST -> window(WINDOW, world.peerFaults()::setLost);
      case PEER_DELAYED -> window(WINDOW, world.peerFaults()::setDelayed);
      case PEER_DOUBLED -> window(WINDOW, world.peerFaults()::setDoubled);
      case PEER_CROSSED -> window(WINDOW, world.peerFaults()::setCrossed);
      case UPSTREAM_LEAVING -> world.operate(0, Optional.of(upstream));
      case ANSWERS_LATE -> window(WINDOW, world::setAnswersLate);
      case STALE_LOAD -> window(WINDOW, world::setLoadStale);
      case STALE_CACHE -> world.platform().execute(() -> staleCache(node, upstream));
      default -> throw new IllegalStateException("no such fault: " + fault);
    }
  }

  private void killUpstream(Engine engine) {
    engine.kill();
    world.platform().after(RESTART, engine::restart);
    heals(RESTART);
  }

  private void restartUpstream(Engine engine) {
    engine.kill();
    engine.restart();
    heals(0);
  }

  private void storeDown() {
    window(WINDOW, world.storeFaults()::setDown);
    world.store().wakeWatches();
  }

  private void pause(Node node) {
    node.process.pause();
    world.platform().after(PAUSE, node.process::resume);
    heals(PAUSE);
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

  private void window(long nanos, Consumer<Boolean> switched) {
    switched.accept(true);
    world.platform().after(nanos, () -> switched.accept(false));
    heals(nanos);
  }

  private void heals(long nanos) {
    healedAt = Math.max(healedAt, world.time().now() + nanos);
  }
}
