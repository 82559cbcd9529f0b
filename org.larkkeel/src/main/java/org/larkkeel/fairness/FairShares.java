/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.fairness;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Start-time fair queueing: orders the calls of several keys so that keys whose calls wait are
 * granted equal cost.
 *
 * <p>Each key has a start tag, the virtual time at which its next call begins. A grant advances the
 * tag of its key by the cost of the call; the waiting call with the smallest tag goes first. The
 * virtual time is the smallest tag of the keys that wait. A key that begins to wait starts at the
 * virtual time at the earliest, so that it gains nothing from the time without calls.
 *
 * <p>Invariants: the virtual time never decreases and never exceeds the tag of a key that waits. A
 * key has an account exactly if a call of it waits or its tag exceeds the virtual time. Grants may
 * be made in any order, for example because other properties of a call go before its tag: a key
 * that waits keeps its tag until it is granted. Costs are in units of the caller's choice, at least
 * 1. Operations take logarithmic time. Not safe for use by several threads.
 *
 * @param <K> the type of keys, with equals and hashCode
 * @since 0.1
 */
public final class FairShares<K> {
  private static final Comparator<Account<?>> BY_TAG =
      Comparator.<Account<?>>comparingLong(a -> a.tag).thenComparingLong(a -> a.id);

  private final Map<K, Account<K>> accounts = new HashMap<>();
  private final TreeSet<Account<K>> waiting = new TreeSet<>(BY_TAG);
  private final TreeSet<Account<K>> idle = new TreeSet<>(BY_TAG);
  private long virtualTime;
  private long lastId;

  /** The state of one key, which is in one of the two sets. */
  private static final class Account<K> {
    final K key;
    final long id;
    long tag;
    int waitingCalls;

    Account(K key, long id, long tag) {
      this.key = key;
      this.id = id;
      this.tag = tag;
    }
  }

  /** The start tags of waiting calls, in the order in which the calls of each key are granted. */
  public final class Tags {
    private final Map<K, Long> next = new HashMap<>();

    private Tags() {}

    /**
     * Returns the start tag of the next waiting call of a key, which follows those that were passed
     * before.
     *
     * @param key the key
     * @param cost the cost of the call
     */
    public long next(K key, long cost) {
      Long known = next.get(key);
      long tag = known == null ? startTag(key) : known;
      next.put(key, tag + Math.max(1, cost));
      return tag;
    }
  }

  /** Notes that a call of a key begins to wait. */
  public void waits(K key) {
    Account<K> a = accounts.get(key);
    if (a == null) {
      a = new Account<>(key, ++lastId, virtualTime);
      accounts.put(key, a);
      waiting.add(a);
    } else if (a.waitingCalls == 0) {
      idle.remove(a);
      a.tag = Math.max(a.tag, virtualTime);
      waiting.add(a);
    }
    a.waitingCalls++;
  }

  /**
   * Notes that a call of a key no longer waits, whether it was granted or has ended.
   *
   * @throws IllegalStateException if no call of the key waits
   */
  public void left(K key) {
    Account<K> a = accounts.get(key);
    if (a == null || a.waitingCalls == 0) {
      throw new IllegalStateException("no call of " + key + " waits");
    }
    a.waitingCalls--;
    if (a.waitingCalls == 0) {
      waiting.remove(a);
      idle.add(a);
      dropServedKeys();
    }
  }

  /** Returns the virtual time at which the next call of a key begins; the smallest goes first. */
  public long startTag(K key) {
    Account<K> a = accounts.get(key);
    return a == null ? virtualTime : Math.max(a.tag, virtualTime);
  }

  /** Returns the start tags of all calls that wait now. Valid until the next change. */
  public Tags tags() {
    return new Tags();
  }

  /**
   * Notes that a call was granted, whether it had to wait or not.
   *
   * @param key the key of the call
   * @param cost the cost of the call; less than 1 counts as 1
   */
  public void granted(K key, long cost) {
    Account<K> a = accounts.computeIfAbsent(key, k -> new Account<>(k, ++lastId, virtualTime));
    TreeSet<Account<K>> set = a.waitingCalls > 0 ? waiting : idle;
    set.remove(a);
    long start = Math.max(a.tag, virtualTime);
    a.tag = start + Math.max(1, cost);
    set.add(a);
    virtualTime = Math.max(virtualTime, waiting.isEmpty() ? start : waiting.first().tag);
    dropServedKeys();
  }

  /** Returns the number of keys with an account. */
  public int size() {
    return accounts.size();
  }

  /** Drops the keys that do not wait and would start at the virtual time, as new keys do. */
  private void dropServedKeys() {
    while (!idle.isEmpty() && idle.first().tag <= virtualTime) {
      accounts.remove(idle.pollFirst().key);
    }
  }
}
