/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.Optional;
import java.util.Set;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.relay.RoomAsk;
import org.larkkeel.relay.ServiceName;

/**
 * A call of another node that asks for room.
 *
 * <p>Invariant: what was granted counts at the upstreams from the grant until the node has told
 * that it took it or does not ask any more. Not safe for use by several threads.
 */
final class RemoteCall implements Seeker {
  private static final long MILLI = 1_000_000L;

  private final HostName node;
  private final DataCentreName place;
  private final long arrivedAt;
  private RoomAsk ask;
  private boolean waiting;
  private UpstreamState home;
  private Optional<UpstreamState> reader = Optional.empty();

  RemoteCall(HostName node, DataCentreName place, RoomAsk ask, long at) {
    this.node = node;
    this.place = place;
    this.ask = ask;
    this.arrivedAt = at - ask.waitedMillis() * MILLI;
  }

  HostName node() {
    return node;
  }

  DataCentreName place() {
    return place;
  }

  RoomAsk ask() {
    return ask;
  }

  /** Takes over what the node says of it now. */
  void update(RoomAsk now) {
    ask = now;
  }

  /** Where room was granted; null if it was not. */
  UpstreamState home() {
    return home;
  }

  /** Where its prompt is to be read; empty if its home reads it. */
  Optional<UpstreamState> reader() {
    return reader;
  }

  /** Counts what it is given. */
  void grant(UpstreamState toRun, Optional<UpstreamState> toRead) {
    home = toRun;
    reader = toRead;
    home.addGranted(ask.units());
    reader.ifPresent(r -> r.addGranted(ask.prompt()));
  }

  /** Counts it no longer. */
  void release() {
    if (home != null) {
      home.addGranted(-ask.units());
    }
    reader.ifPresent(r -> r.addGranted(-ask.prompt()));
    home = null;
    reader = Optional.empty();
  }

  @Override
  public ServiceName service() {
    return ask.service();
  }

  @Override
  public long arrivedAt() {
    return arrivedAt;
  }

  @Override
  public long targetNanos() {
    return ask.targetMillis() * MILLI;
  }

  @Override
  public boolean isFresh() {
    return ask.fresh();
  }

  @Override
  public boolean isBegun() {
    return ask.begun();
  }

  @Override
  public boolean isInTime(long at) {
    return Sizing.isInTime(this, at);
  }

  @Override
  public Set<UpstreamLife> without() {
    return ask.without();
  }

  @Override
  public boolean isWaiting() {
    return waiting;
  }

  @Override
  public void setWaiting(boolean now) {
    waiting = now;
  }
}
