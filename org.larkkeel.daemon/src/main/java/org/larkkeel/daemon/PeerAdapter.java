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
 * Turns what peers say into events of this node.
 *
 * <p>Called on the core thread of the peer node, but for {@link #isDead}. Safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class PeerAdapter implements PeerListener {
  private static final Logger log = LoggerFactory.getLogger(PeerAdapter.class);

  private final HostName self;
  private final Consumer<Event> events;
  private final LongSupplier clock;
  private final Set<HostName> present = ConcurrentHashMap.newKeySet();
  private final Set<EngineRequestId.Origin> dead = ConcurrentHashMap.newKeySet();
  private final Map<HostName, Incarnation> newest = new ConcurrentHashMap<>();
  private volatile PeerNews news = new PeerNews() {};

  /** What the node does besides when its view of the peers changes. */
  public interface PeerNews {
    /**
     * The set of live nodes changed.
     *
     * @param live names of the live nodes, this one included
     */
    default void liveChanged(ImmutableSortedSet<HostName> live) {}

    /**
     * A start of a node has ended for certain.
     *
     * @param origin that start
     */
    default void died(EngineRequestId.Origin origin) {}

    /**
     * A peer has a newer configuration.
     *
     * @param peer the peer
     * @param revision its revision
     */
    default void newerRevision(Member peer, Revision revision) {}

    /** Another process runs under the name of this host; this one must stop. */
    default void superseded() {}
  }

  /**
   * Creates an adapter that knows this node only.
   *
   * @param origin this start of this node
   * @param events takes the events
   * @param clock the node's monotonic clock, nanoseconds
   */
  public PeerAdapter(EngineRequestId.Origin origin, Consumer<Event> events, LongSupplier clock) {
    this.self = origin.host();
    this.events = events;
    this.clock = clock;
    present.add(self);
    newest.put(self, origin.incarnation());
  }

  /**
   * Sets who else is told.
   *
   * @param told called on the core thread of the peer node; must not block
   */
  public void setNews(PeerNews told) {
    news = told;
  }

  /**
   * The nodes that are known as live.
   *
   * @return their names, this one included
   */
  public ImmutableSortedSet<HostName> live() {
    return ImmutableSortedSet.copyOf(present);
  }

  /**
   * Tells whether another node is in reach.
   *
   * @return true if the view has a live node besides this one
   */
  public boolean hasPeers() {
    return present.size() > 1;
  }

  /**
   * Tells whether a start of a node has ended for certain: it was found dead, or a later start of
   * the same host is known.
   *
   * @param origin the start
   * @return true if it is known as dead
   */
  public boolean isDead(EngineRequestId.Origin origin) {
    Incarnation last = newest.get(origin.host());
    boolean replaced = last != null && last.compareTo(origin.incarnation()) > 0;
    return replaced || dead.contains(origin);
  }

  @Override
  public void memberChanged(Member member, boolean leaving) {
    HostName host = member.id().host();
    boolean changed = false;
    if (!host.equals(self)) {
      changed = member.state().isPresent() ? present.add(host) : present.remove(host);
      noteStart(host, member.id().incarnation());
      EngineRequestId.Origin origin = new EngineRequestId.Origin(host, member.id().incarnation());
      if (member.state().isPresent()) {
        revived(origin);
      } else {
        died(origin);
      }
    }
    if (changed) {
      ImmutableSortedSet<HostName> live = live();
      events.accept(new Event.PeersChanged(clock.getAsLong(), live));
      news.liveChanged(live);
    }
  }

  /** A later start of a host is the end of the start before. */
  private void noteStart(HostName host, Incarnation incarnation) {
    Incarnation before = newest.get(host);
    if (before == null || incarnation.compareTo(before) > 0) {
      newest.put(host, incarnation);
      if (before != null) {
        died(new EngineRequestId.Origin(host, before));
      }
    }
  }

  /** A start that was found dead by mistake, paused or cut off for a time, has refuted it. */
  private void revived(EngineRequestId.Origin origin) {
    if (dead.remove(origin)) {
      log.info("event=node_revived host={} incarnation={}", origin.host(), origin.incarnation());
    }
  }

  private void died(EngineRequestId.Origin origin) {
    if (dead.add(origin)) {
      log.info("event=node_ended host={} incarnation={}", origin.host(), origin.incarnation());
      news.died(origin);
    }
  }

  @Override
  public void newerRevision(Member peer, Revision revision) {
    news.newerRevision(peer, revision);
  }

  @Override
  public void superseded(NodeId later) {
    log.error("event=superseded later={}", later);
    news.superseded();
  }
}
