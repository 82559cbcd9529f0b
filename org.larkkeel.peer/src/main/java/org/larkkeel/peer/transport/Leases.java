/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.transport;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.peer.gen.Batch;
import org.larkkeel.peer.gen.WireLimitAsk;
import org.larkkeel.peer.gen.WireLimitGrant;
import org.larkkeel.peer.gen.WireNode;
import org.larkkeel.peer.gen.WireSlotGrant;
import org.larkkeel.peer.gen.WireSlotReport;
import org.larkkeel.peer.gen.WireSlotWait;
import org.larkkeel.peer.limits.LimitAsk;
import org.larkkeel.peer.limits.LimitGrant;
import org.larkkeel.peer.membership.NodeId;
import org.larkkeel.peer.slots.SlotGrant;
import org.larkkeel.peer.slots.SlotReport;

/**
 * Everything about leases and limits that one node has to say to another at a flush.
 *
 * <p>Not safe for use by several threads.
 *
 * @param sender who says it
 * @param reports of slot holders
 * @param grants of slot owners
 * @param asks of limit holders
 * @param limits grants of limit owners
 * @since 0.1
 */
public record Leases(
    NodeId sender,
    List<SlotReport> reports,
    List<SlotGrant> grants,
    List<LimitAsk> asks,
    List<LimitGrant> limits) {

  /**
   * Nothing yet; the lists can be added to.
   *
   * @param sender who will say it
   * @return empty lists
   */
  public static Leases of(NodeId sender) {
    return new Leases(
        sender, new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
  }

  /**
   * Tells whether there is nothing to say.
   *
   * @return true if all lists are empty
   */
  public boolean isEmpty() {
    return reports.isEmpty() && grants.isEmpty() && asks.isEmpty() && limits.isEmpty();
  }

  /**
   * Converts to the Thrift form.
   *
   * @return a new batch
   */
  public Batch toWire() {
    Batch batch = new Batch(new WireNode(sender.host().value(), sender.incarnation().value()));
    for (SlotReport report : reports) {
      batch.addToSlotReports(toWire(report));
    }
    for (SlotGrant grant : grants) {
      batch.addToSlotGrants(
          new WireSlotGrant(
              grant.key(),
              grant.epoch(),
              grant.sequence(),
              grant.base(),
              grant.number(),
              grant.added(),
              grant.contended()));
    }
    for (LimitAsk ask : asks) {
      batch.addToLimitAsks(
          new WireLimitAsk(
              ask.workspace(),
              ask.sequence(),
              ask.requestsWanted(),
              ask.tokensWanted(),
              ask.requestsReturned(),
              ask.tokensReturned(),
              ask.tokensOfNext()));
    }
    for (LimitGrant grant : limits) {
      batch.addToLimitGrants(
          new WireLimitGrant(
              grant.workspace(),
              grant.sequence(),
              grant.requests(),
              grant.tokens(),
              TimeUnit.NANOSECONDS.toMillis(grant.retryAfter())));
    }
    return batch;
  }

  private static WireSlotReport toWire(SlotReport report) {
    WireSlotReport wire =
        new WireSlotReport(
            report.key(), report.epoch(), report.sequence(), report.seen(), report.held());
    for (SlotReport.Wait wait : report.waits()) {
      wire.addToWaits(new WireSlotWait(wait.priority(), wait.count()));
    }
    return wire;
  }

  /**
   * Reads the Thrift form.
   *
   * @param batch from a peer
   * @return what it says
   * @throws IllegalArgumentException if a value is out of range
   */
  public static Leases fromWire(Batch batch) {
    if (batch.getSender() == null) {
      throw new IllegalArgumentException("sender is missing: name the node that sends the batch");
    }
    WireNode node = batch.getSender();
    Leases leases =
        of(new NodeId(new HostName(node.getHost()), new Incarnation(node.getIncarnation())));
    for (WireSlotReport report : orEmpty(batch.getSlotReports())) {
      leases.reports.add(fromWire(report));
    }
    for (WireSlotGrant grant : orEmpty(batch.getSlotGrants())) {
      leases.grants.add(
          new SlotGrant(
              grant.getKey(),
              grant.getEpoch(),
              grant.getSequence(),
              grant.getBase(),
              grant.getNumber(),
              notNegative("added", grant.getAdded()),
              grant.isContended()));
    }
    for (WireLimitAsk ask : orEmpty(batch.getLimitAsks())) {
      leases.asks.add(
          new LimitAsk(
              ask.getWorkspace(),
              ask.getSequence(),
              ask.getRequestsWanted(),
              ask.getTokensWanted(),
              ask.getRequestsReturned(),
              ask.getTokensReturned(),
              ask.getTokensOfNext()));
    }
    for (WireLimitGrant grant : orEmpty(batch.getLimitGrants())) {
      leases.limits.add(
          new LimitGrant(
              grant.getWorkspace(),
              grant.getSequence(),
              grant.getRequests(),
              grant.getTokens(),
              TimeUnit.MILLISECONDS.toNanos(grant.getRetryMillis())));
    }
    return leases;
  }

  private static SlotReport fromWire(WireSlotReport report) {
    List<SlotReport.Wait> waits = new ArrayList<>();
    for (WireSlotWait wait : orEmpty(report.getWaits())) {
      waits.add(new SlotReport.Wait(wait.getPriority(), notNegative("count", wait.getCount())));
    }
    return new SlotReport(
        report.getKey(),
        report.getEpoch(),
        report.getSequence(),
        report.getSeen(),
        notNegative("held", report.getHeld()),
        waits);
  }

  private static <T> List<T> orEmpty(List<T> list) {
    return list == null ? List.of() : list;
  }

  private static int notNegative(String field, int value) {
    if (value < 0) {
      throw new IllegalArgumentException(field + " is " + value + ": use 0 or more");
    }
    return value;
  }
}
