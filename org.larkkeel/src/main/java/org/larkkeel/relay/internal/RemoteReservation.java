/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import java.util.Optional;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.relay.CallRank;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RequestTerms;
import org.larkkeel.relay.ReservationRequest;
import org.larkkeel.relay.ServiceName;

/**
 * A reservation that another node requests for one of its calls.
 *
 * <p>Invariant: what was granted counts at the upstreams from the grant until the node has reported
 * that it reserved the memory, or no longer requests it. Not thread-safe.
 */
final class RemoteReservation implements PendingReservation {
  private static final long MILLI = 1_000_000L;

  private final HostName node;
  private final DataCentreName dataCentre;
  private final long arrivedAt;
  private ReservationRequest request;
  private boolean waiting;
  private boolean rejected;
  private long retryAfterMillis;
  private UpstreamState reservedUpstream;
  private Optional<UpstreamState> prefillUpstream = Optional.empty();

  RemoteReservation(HostName node, DataCentreName dataCentre, ReservationRequest request, long at) {
    this.node = node;
    this.dataCentre = dataCentre;
    this.request = request;
    this.arrivedAt = at - request.waitedMillis() * MILLI;
  }

  HostName node() {
    return node;
  }

  DataCentreName dataCentre() {
    return dataCentre;
  }

  ReservationRequest request() {
    return request;
  }

  /** Replaces the request by the latest one of the node. */
  void update(ReservationRequest latest) {
    request = latest;
  }

  /** Returns whether the request was granted or rejected. */
  boolean isAnswered() {
    return rejected || reservedUpstream != null;
  }

  /** Returns the upstream at which memory was granted; null if none was. */
  UpstreamState reservedUpstream() {
    return reservedUpstream;
  }

  /** Returns the upstream that prefills the prompt; empty if the reserved upstream does. */
  Optional<UpstreamState> prefillUpstream() {
    return prefillUpstream;
  }

  /** Grants the reservation and counts it at the upstreams. */
  void grant(UpstreamState toReserve, Optional<UpstreamState> toPrefill) {
    reservedUpstream = toReserve;
    prefillUpstream = toPrefill;
    reservedUpstream.addGranted(request.units());
    prefillUpstream.ifPresent(r -> r.addGranted(request.prompt()));
  }

  /** Releases the grant, if there is one. */
  void release() {
    if (reservedUpstream != null) {
      reservedUpstream.addGranted(-request.units());
    }
    prefillUpstream.ifPresent(r -> r.addGranted(-request.prompt()));
    reservedUpstream = null;
    prefillUpstream = Optional.empty();
  }

  @Override
  public ServiceName service() {
    return request.service();
  }

  @Override
  public CallRank rank() {
    return request.rank();
  }

  @Override
  public long units() {
    return request.units();
  }

  @Override
  public Optional<WorkspaceName> workspace() {
    return request.workspace();
  }

  @Override
  public long arrivedAt() {
    return arrivedAt;
  }

  @Override
  public long targetNanos() {
    return request.targetMillis() * MILLI;
  }

  @Override
  public boolean isFirstTry() {
    return request.firstTry();
  }

  @Override
  public boolean isStreaming() {
    return request.streaming();
  }

  @Override
  public boolean canMeetTarget(long at) {
    return CallDemands.canMeetTarget(this, at);
  }

  @Override
  public boolean accepts(UpstreamState upstream) {
    return accepts(request, upstream);
  }

  /** Returns whether the call of a request may be sent to an upstream. */
  static boolean accepts(ReservationRequest request, UpstreamState upstream) {
    return !request.excluded().contains(upstream.incarnation())
        && (request.build().isEmpty() || request.build().get().equals(upstream.upstream().build()));
  }

  @Override
  public boolean isWaiting() {
    return waiting;
  }

  @Override
  public void setWaiting(boolean now) {
    waiting = now;
  }

  @Override
  public String wireId() {
    return request.wireId();
  }

  @Override
  public Optional<RequestTerms> terms() {
    return request.terms();
  }

  /** Rejects the request; it stays rejected until the node no longer sends it. */
  void reject(long newRetryAfterMillis) {
    rejected = true;
    retryAfterMillis = newRetryAfterMillis;
  }

  /** Returns the answer to the request; empty while it is pending. */
  Optional<RelayEffect.ReservationAnswer> answer() {
    if (rejected) {
      return Optional.of(new RelayEffect.RejectReservation(node, request.call(), retryAfterMillis));
    }
    if (reservedUpstream == null) {
      return Optional.empty();
    }
    return Optional.of(
        new RelayEffect.GrantReservation(
            node,
            request.call(),
            reservedUpstream.incarnation(),
            prefillUpstream.map(UpstreamState::incarnation)));
  }
}
