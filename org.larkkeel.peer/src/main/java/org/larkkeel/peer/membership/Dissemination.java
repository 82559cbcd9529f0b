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
 * Records that wait to be piggybacked: those sent least often go first, members before load.
 *
 * <p>Invariants: at most one record a host and one a load key waits, and each goes out a bounded
 * number of times. Not safe for use by several threads.
 */
final class Dissemination {
  private static final int MEMBER_OVERHEAD = 40;
  private static final int LOAD_OVERHEAD = 14;

  private final Map<HostName, Pending<Member>> members = new LinkedHashMap<>();
  private final Map<String, Pending<LoadRecord>> load = new LinkedHashMap<>();

  /** What fits into one message. */
  record Payload(List<Member> members, List<LoadRecord> load, int bytes) {}

  void add(Member member) {
    members.put(member.id().host(), new Pending<>(member, sizeOf(member)));
  }

  void add(LoadRecord record) {
    int size = LOAD_OVERHEAD + record.key().length() + record.value().length;
    load.put(record.key(), new Pending<>(record, size));
  }

  /**
   * Chooses the records of one message and counts them as sent.
   *
   * @param bytes the most bytes of records
   * @param limit how often a record is sent
   * @param forced members that go in any case
   */
  Payload take(int bytes, int limit, List<Member> forced) {
    List<Member> chosen = new ArrayList<>(forced);
    int left = bytes;
    for (Member member : forced) {
      left -= sizeOf(member);
    }
    left = fill(members, chosen, left, limit);
    List<LoadRecord> chosenLoad = new ArrayList<>();
    left = fill(load, chosenLoad, left, limit);
    return new Payload(chosen, chosenLoad, bytes - left);
  }

  private static <K, T> int fill(Map<K, Pending<T>> waiting, List<T> chosen, int bytes, int limit) {
    if (waiting.isEmpty()) {
      return bytes;
    }
    List<Map.Entry<K, Pending<T>>> order = new ArrayList<>(waiting.entrySet());
    order.sort(Comparator.comparingInt(entry -> entry.getValue().sent));
    int left = bytes;
    for (Map.Entry<K, Pending<T>> entry : order) {
      Pending<T> pending = entry.getValue();
      if (pending.size > left) {
        continue;
      }
      left -= pending.size;
      if (!chosen.contains(pending.record)) {
        chosen.add(pending.record);
      }
      pending.sent++;
      if (pending.sent >= limit) {
        waiting.remove(entry.getKey());
      }
    }
    return left;
  }

  /** An upper estimate of the encoded size. */
  static int sizeOf(Member member) {
    return MEMBER_OVERHEAD
        + member.id().host().value().length()
        + member.dataCentre().value().length();
  }

  private static final class Pending<T> {
    private final T record;
    private final int size;
    private int sent;

    Pending(T record, int size) {
      this.record = record;
      this.size = size;
    }
  }
}
