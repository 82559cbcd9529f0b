/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon;

import com.google.common.collect.ImmutableSortedSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.larkkeel.event.Event;
import org.larkkeel.http.upstream.EngineRequestId;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.Revision;
import org.larkkeel.peer.PeerListener;
import org.larkkeel.peer.membership.Member;
import org.larkkeel.peer.membership.NodeId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Translates notifications of the peer node into events of this node, and records which node
 * incarnations have ended.
 *
 * <p>Notifications arrive on the core thread of the peer node. {@link #live}, {@link #hasPeers} and
 * {@link #isDead} are safe for use by several threads.
 *
 * @since 0.1
 */
public final class PeerAdapter implements PeerListener {
  private static final Logger log = LoggerFactory.getLogger(PeerAdapter.class);

  private final HostName self;
  private final Consumer<Event> events;
  private final LongSupplier clock;
  private final Set<HostName> liveHosts = ConcurrentHashMap.newKeySet();
  private final Set<EngineRequestId.Origin> dead = ConcurrentHashMap.newKeySet();
  private final Map<HostName, Incarnation> latestIncarnations = new ConcurrentHashMap<>();
  private volatile PeerChangeListener listener = new PeerChangeListener() {};

  /** Callbacks for changes among the peers that other components of the node react to. */
  public interface PeerChangeListener {
    /**
     * Called when the set of live nodes has changed.
     *
     * @param live names of the live nodes, this node included
     */
    default void liveChanged(ImmutableSortedSet<HostName> live) {}

    /**
     * Called when a node incarnation is known to have ended.
     *
     * @param origin the incarnation
     */
    default void incarnationEnded(EngineRequestId.Origin origin) {}

    /**
     * Called when a peer has a newer configuration.
     *
     * @param peer the peer
     * @param revision the peer's revision
     */
    default void newerRevision(Member peer, Revision revision) {}

    /** Called when a later process runs under the name of this host, so that this one must stop. */
    default void superseded() {}
  }

  /**
   * Creates an adapter that knows this node only.
   *
   * @param origin the incarnation of this node
   * @param events receives the events
   * @param clock the node's monotonic clock, nanoseconds
   */
  public PeerAdapter(EngineRequestId.Origin origin, Consumer<Event> events, LongSupplier clock) {
    this.self = origin.host();
    this.events = events;
    this.clock = clock;
    liveHosts.add(self);
    latestIncarnations.put(self, origin.incarnation());
  }

  /**
   * Sets the callbacks.
   *
   * @param newListener called on the core thread of the peer node; must not block
   */
  public void setListener(PeerChangeListener newListener) {
    listener = newListener;
  }

  /**
   * Returns the nodes that this node considers live.
   *
   * @return their names, this node included
   */
  public ImmutableSortedSet<HostName> live() {
    return ImmutableSortedSet.copyOf(liveHosts);
  }

  /**
   * Returns whether another node is reachable.
   *
   * @return true if a node besides this one is considered live
   */
  public boolean hasPeers() {
    return liveHosts.size() > 1;
  }

  /**
   * Returns whether a node incarnation is known to have ended: it was declared dead, or a later
   * incarnation of the same host is known.
   *
   * @param origin the incarnation
   * @return true if it is known to have ended
   */
  public boolean isDead(EngineRequestId.Origin origin) {
    Incarnation last = latestIncarnations.get(origin.host());
    boolean replaced = last != null && last.compareTo(origin.incarnation()) > 0;
    return replaced || dead.contains(origin);
  }

  @Override
  public void memberChanged(Member member, boolean leaving) {
    HostName host = member.id().host();
    boolean changed = false;
    if (!host.equals(self)) {
      changed = member.state().isPresent() ? liveHosts.add(host) : liveHosts.remove(host);
      recordIncarnation(host, member.id().incarnation());
      EngineRequestId.Origin origin = new EngineRequestId.Origin(host, member.id().incarnation());
      if (member.state().isPresent()) {
        markLive(origin);
      } else {
        markDead(origin);
      }
    }
    if (changed) {
      ImmutableSortedSet<HostName> live = live();
      events.accept(new Event.PeersChanged(clock.getAsLong(), live));
      listener.liveChanged(live);
    }
  }

  /** Records an incarnation; a new incarnation of a host means that the previous one has ended. */
  private void recordIncarnation(HostName host, Incarnation incarnation) {
    Incarnation previous = latestIncarnations.get(host);
    if (previous == null || incarnation.compareTo(previous) > 0) {
      latestIncarnations.put(host, incarnation);
      if (previous != null) {
        markDead(new EngineRequestId.Origin(host, previous));
      }
    }
  }

  /**
   * Revokes the death of an incarnation that was declared dead while it was paused or partitioned
   * and has since refuted it.
   */
  private void markLive(EngineRequestId.Origin origin) {
    if (dead.remove(origin)) {
      log.info("event=node_revived host={} incarnation={}", origin.host(), origin.incarnation());
    }
  }

  private void markDead(EngineRequestId.Origin origin) {
    if (dead.add(origin)) {
      log.info("event=node_ended host={} incarnation={}", origin.host(), origin.incarnation());
      listener.incarnationEnded(origin);
    }
  }

  @Override
  public void newerRevision(Member peer, Revision revision) {
    listener.newerRevision(peer, revision);
  }

  @Override
  public void superseded(NodeId later) {
    log.error("event=superseded later={}", later);
    listener.superseded();
  }
}
