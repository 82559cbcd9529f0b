/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.util.List;
import org.larkkeel.lib.TokenBucket;

/**
 * Writes the headers of messages, with as many records as the bounds of bytes allow. The bound over
 * time keeps lost messages and their repetitions from multiplying records.
 *
 * <p>Times are nanoseconds. Not safe for use by several threads.
 */
final class HeaderWriter {
  private final MembershipSettings settings;
  private final MemberRecords records;
  private final RevisionTable revisions;
  private final Dissemination dissemination;
  private final TokenBucket allowance;

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
    int rate = settings.piggybackBytesPerSecond();
    this.allowance = new TokenBucket(rate, rate, now);
  }

  /** A header for a member, with what it has to contradict. */
  Message.Header headerFor(Member target, long now) {
    return header(records.contradictions(target.id()), now);
  }

  /** A header with news, and with some records in any case. */
  Message.Header header(List<Member> forced, long now) {
    int limit = settings.retransmits(records.table().size());
    int bytes = Math.min(settings.piggybackBytes(), (int) allowance.level(now));
    Dissemination.Payload payload = dissemination.take(bytes, limit, forced);
    allowance.take(payload.bytes());
    return withRecords(payload.members(), payload.load());
  }

  /** A header with a page of records and no news. */
  Message.Header page(List<Member> members) {
    return withRecords(members, List.of());
  }

  private Message.Header withRecords(List<Member> members, List<LoadRecord> load) {
    return new Message.Header(records.self().id(), revisions.held(), members, load);
  }
}
