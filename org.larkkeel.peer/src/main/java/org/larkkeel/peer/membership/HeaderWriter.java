/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.util.List;
import org.larkkeel.lib.TokenBucket;

/**
 * Creates the headers of messages, with as many records as the byte limits per message and per
 * second allow. The limit per second bounds the records that lost messages and their
 * retransmissions cause.
 *
 * <p>Times are nanoseconds. Not safe for use by several threads.
 */
final class HeaderWriter {
  private final MembershipSettings settings;
  private final MemberRecords records;
  private final RevisionTable revisions;
  private final Dissemination dissemination;
  private final TokenBucket byteBudget;

  HeaderWriter(
      MembershipSettings settings,
      MemberRecords records,
      RevisionTable revisions,
      Dissemination dissemination,
      long now) {
    this.settings = settings;
    this.records = records;
    this.revisions = revisions;
    this.dissemination = dissemination;
    int rate = settings.maxPiggybackBytesPerSecond();
    this.byteBudget = new TokenBucket(rate, rate, now);
  }

  /** Returns a header for a member, with the record that the member has to refute, if any. */
  Message.Header headerFor(Member target, long now) {
    return header(records.recordsToRefute(target.id()), now);
  }

  /** Returns a header with pending records and with records that are always included. */
  Message.Header header(List<Member> required, long now) {
    int maxSends = settings.retransmits(records.table().size());
    int maxBytes = Math.min(settings.maxPiggybackBytes(), (int) byteBudget.level(now));
    Dissemination.Payload payload = dissemination.take(maxBytes, maxSends, required);
    byteBudget.take(payload.bytes());
    return withRecords(payload.members(), payload.load());
  }

  /** Returns a header with a page of records and without pending records. */
  Message.Header page(List<Member> members) {
    return withRecords(members, List.of());
  }

  private Message.Header withRecords(List<Member> members, List<LoadRecord> load) {
    return new Message.Header(records.self().id(), revisions.held(), members, load);
  }
}
