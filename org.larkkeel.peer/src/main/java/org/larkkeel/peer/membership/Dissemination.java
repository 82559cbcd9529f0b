/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.larkkeel.lib.HostName;

/**
 * The records that wait to be piggybacked on messages. Member records go before load records;
 * within each kind, records that were sent least often go first.
 *
 * <p>Invariants: at most one record per host and one per load key is pending, and each is sent a
 * bounded number of times. Not safe for use by several threads.
 */
final class Dissemination {
  private static final int MEMBER_OVERHEAD_BYTES = 40;
  private static final int LOAD_OVERHEAD_BYTES = 14;

  private final Map<HostName, Pending<Member>> members = new LinkedHashMap<>();
  private final Map<String, Pending<LoadRecord>> load = new LinkedHashMap<>();

  /** The records of one message, with their estimated size. */
  record Payload(List<Member> members, List<LoadRecord> load, int bytes) {}

  void add(Member member) {
    members.put(member.id().host(), new Pending<>(member, maxEncodedBytes(member)));
  }

  void add(LoadRecord record) {
    int size = LOAD_OVERHEAD_BYTES + record.key().length() + record.value().length;
    load.put(record.key(), new Pending<>(record, size));
  }

  /**
   * Chooses the records of one message and counts them as sent.
   *
   * @param maxBytes the maximum number of bytes of records
   * @param maxSends the number of messages in which a record is sent
   * @param required members that are always included
   */
  Payload take(int maxBytes, int maxSends, List<Member> required) {
    List<Member> chosen = new ArrayList<>(required);
    int bytesLeft = maxBytes;
    for (Member member : required) {
      bytesLeft -= maxEncodedBytes(member);
    }
    bytesLeft = fill(members, chosen, bytesLeft, maxSends);
    List<LoadRecord> chosenLoad = new ArrayList<>();
    bytesLeft = fill(load, chosenLoad, bytesLeft, maxSends);
    return new Payload(chosen, chosenLoad, maxBytes - bytesLeft);
  }

  private static <K, T> int fill(
      Map<K, Pending<T>> pendingRecords, List<T> chosen, int maxBytes, int maxSends) {
    if (pendingRecords.isEmpty()) {
      return maxBytes;
    }
    List<Map.Entry<K, Pending<T>>> order = new ArrayList<>(pendingRecords.entrySet());
    order.sort(Comparator.comparingInt(entry -> entry.getValue().sentCount));
    int bytesLeft = maxBytes;
    for (Map.Entry<K, Pending<T>> entry : order) {
      Pending<T> pending = entry.getValue();
      if (pending.size > bytesLeft) {
        continue;
      }
      bytesLeft -= pending.size;
      if (!chosen.contains(pending.record)) {
        chosen.add(pending.record);
      }
      pending.sentCount++;
      if (pending.sentCount >= maxSends) {
        pendingRecords.remove(entry.getKey());
      }
    }
    return bytesLeft;
  }

  /** Returns an upper estimate of the encoded size, in bytes. */
  static int maxEncodedBytes(Member member) {
    return MEMBER_OVERHEAD_BYTES
        + member.id().host().value().length()
        + member.dataCentre().value().length();
  }

  private static final class Pending<T> {
    private final T record;
    private final int size;
    private int sentCount;

    Pending(T record, int size) {
      this.record = record;
      this.size = size;
    }
  }
}
