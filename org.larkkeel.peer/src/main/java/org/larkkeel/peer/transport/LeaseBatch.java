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
import org.larkkeel.peer.limits.LimitGrant;
import org.larkkeel.peer.limits.LimitRequest;
import org.larkkeel.peer.membership.NodeId;
import org.larkkeel.peer.slots.SlotGrant;
import org.larkkeel.peer.slots.SlotReport;

/**
 * The messages about slot leases and rate limits that one node sends to another in one batch.
 *
 * <p>Not safe for use by several threads.
 *
 * @param sender the node that sends the batch
 * @param slotReports the reports of slot holders
 * @param slotGrants the grants of slot owners
 * @param limitRequests the requests of limit holders
 * @param limitGrants the grants of limit owners
 * @since 0.1
 */
public record LeaseBatch(
    NodeId sender,
    List<SlotReport> slotReports,
    List<SlotGrant> slotGrants,
    List<LimitRequest> limitRequests,
    List<LimitGrant> limitGrants) {

  /**
   * Creates an empty batch; messages can be added to its lists.
   *
   * @param sender the node that sends the batch
   * @return a batch with empty, mutable lists
   */
  public static LeaseBatch empty(NodeId sender) {
    return new LeaseBatch(
        sender, new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
  }

  /**
   * Returns whether the batch contains no messages.
   *
   * @return true if all lists are empty
   */
  public boolean isEmpty() {
    return slotReports.isEmpty()
        && slotGrants.isEmpty()
        && limitRequests.isEmpty()
        && limitGrants.isEmpty();
  }

  /**
   * Converts the batch to its Thrift form.
   *
   * @return a new batch
   */
  public Batch toWire() {
    Batch batch = new Batch(new WireNode(sender.host().value(), sender.incarnation().value()));
    for (SlotReport report : slotReports) {
      batch.addToSlotReports(toWire(report));
    }
    for (SlotGrant grant : slotGrants) {
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
    for (LimitRequest request : limitRequests) {
      batch.addToLimitAsks(
          new WireLimitAsk(
              request.workspace(),
              request.sequence(),
              request.requestsWanted(),
              request.tokensWanted(),
              request.requestsReturned(),
              request.tokensReturned(),
              request.tokensOfNext()));
    }
    for (LimitGrant grant : limitGrants) {
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
   * Converts a batch from its Thrift form.
   *
   * @param batch the batch of a peer
   * @return the converted batch
   * @throws IllegalArgumentException if the sender is missing or a value is out of range
   */
  public static LeaseBatch fromWire(Batch batch) {
    if (batch.getSender() == null) {
      throw new IllegalArgumentException("sender is missing: name the node that sends the batch");
    }
    WireNode node = batch.getSender();
    LeaseBatch leaseBatch =
        empty(new NodeId(new HostName(node.getHost()), new Incarnation(node.getIncarnation())));
    for (WireSlotReport report : orEmpty(batch.getSlotReports())) {
      leaseBatch.slotReports.add(fromWire(report));
    }
    for (WireSlotGrant grant : orEmpty(batch.getSlotGrants())) {
      leaseBatch.slotGrants.add(
          new SlotGrant(
              grant.getKey(),
              grant.getEpoch(),
              grant.getSequence(),
              grant.getBase(),
              grant.getNumber(),
              requireNotNegative("added", grant.getAdded()),
              grant.isContended()));
    }
    for (WireLimitAsk request : orEmpty(batch.getLimitAsks())) {
      leaseBatch.limitRequests.add(
          new LimitRequest(
              request.getWorkspace(),
              request.getSequence(),
              request.getRequestsWanted(),
              request.getTokensWanted(),
              request.getRequestsReturned(),
              request.getTokensReturned(),
              request.getTokensOfNext()));
    }
    for (WireLimitGrant grant : orEmpty(batch.getLimitGrants())) {
      leaseBatch.limitGrants.add(
          new LimitGrant(
              grant.getWorkspace(),
              grant.getSequence(),
              grant.getRequests(),
              grant.getTokens(),
              TimeUnit.MILLISECONDS.toNanos(grant.getRetryMillis())));
    }
    return leaseBatch;
  }

  private static SlotReport fromWire(WireSlotReport report) {
    List<SlotReport.Wait> waits = new ArrayList<>();
    for (WireSlotWait wait : orEmpty(report.getWaits())) {
      waits.add(
          new SlotReport.Wait(wait.getPriority(), requireNotNegative("count", wait.getCount())));
    }
    return new SlotReport(
        report.getKey(),
        report.getEpoch(),
        report.getSequence(),
        report.getSeen(),
        requireNotNegative("held", report.getHeld()),
        waits);
  }

  private static <T> List<T> orEmpty(List<T> list) {
    return list == null ? List.of() : list;
  }

  private static int requireNotNegative(String field, int value) {
    if (value < 0) {
      throw new IllegalArgumentException(field + " is " + value + ": use 0 or more");
    }
    return value;
  }
}
