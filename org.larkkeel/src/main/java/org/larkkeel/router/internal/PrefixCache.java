/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import com.google.common.primitives.ImmutableLongArray;
import java.util.Iterator;
import java.util.LinkedHashSet;
import org.larkkeel.call.PrefixKeys;
import org.larkkeel.lib.Incarnation;

/**
 * What one upstream is believed to keep in its prefix cache.
 *
 * <p>Events come late and with gaps, so the belief is weighted by how often it proved right.
 * Invariant: at most {@link #MAX_KEYS} keys, the oldest go first. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class PrefixCache {
  /** The most keys kept of one upstream. */
  public static final int MAX_KEYS = 512;

  private static final double TRUST_STEP = 0.1;
  private static final double TRUST_AFTER_GAP = 0.7;

  private final UpstreamState owner;
  private final PrefixIndex index;
  private final LinkedHashSet<Long> keys = new LinkedHashSet<>();
  private Incarnation incarnation;

  /** The start that a report has ended; null if none has. */
  private Incarnation former;

  private long sequence;
  private double trust = 1;

  /**
   * Creates an empty cache.
   *
   * @param owner the upstream
   * @param index the index over all upstreams, which is kept in step
   */
  public PrefixCache(UpstreamState owner, PrefixIndex index) {
    this.owner = owner;
    this.index = index;
  }

  /**
   * Takes a published change; one that is older than the last, or of an older start, is dropped.
   *
   * @param start the start of the engine
   * @param number the number of the change
   * @param stored keys stored
   * @param removed keys removed
   */
  public void changed(
      Incarnation start, long number, ImmutableLongArray stored, ImmutableLongArray removed) {
    if (start.equals(former) || (incarnation != null && start.compareTo(incarnation) < 0)) {
      return;
    }
    if (!start.equals(incarnation)) {
      clear();
      incarnation = start;
    } else if (number <= sequence) {
      return;
    } else if (number > sequence + 1) {
      trust = Math.min(trust, TRUST_AFTER_GAP);
    }
    sequence = number;
    removed.forEach(this::remove);
    stored.forEach(this::add);
  }

  /**
   * Learns from a prefill that this node ordered.
   *
   * @param prefixes the prefixes of its prompt, now in the cache
   * @param predicted tokens believed to be in the cache before
   * @param found tokens that were in the cache
   */
  public void used(PrefixKeys prefixes, int predicted, int found) {
    if (predicted > 0) {
      trust += TRUST_STEP * (Math.min(1.0, (double) found / predicted) - trust);
    }
    prefixes.keys().forEach(this::add);
  }

  /**
   * The engine has reported that it started again; forgets what was there before, and ignores what
   * is still told of it.
   *
   * @param start its start, which may be smaller than the one before
   */
  public void restarted(Incarnation start) {
    if (!start.equals(incarnation)) {
      clear();
      former = incarnation;
      incarnation = start;
    }
  }

  /** Forgets everything. */
  public void clear() {
    keys.forEach(key -> index.remove(key, owner));
    keys.clear();
    sequence = 0;
    trust = 1;
  }

  /**
   * Tokens of a prompt that are believed to be cached, whatever the trust.
   *
   * @param prefixes the prefixes of the prompt
   * @return tokens
   */
  public int believed(PrefixKeys prefixes) {
    int pieces = 0;
    while (pieces < prefixes.keys().length() && keys.contains(prefixes.keys().get(pieces))) {
      pieces++;
    }
    return pieces * PrefixKeys.PIECE_TOKENS;
  }

  /**
   * Tokens of a prompt that are expected to be found.
   *
   * @param prefixes the prefixes of the prompt
   * @return tokens, weighted by trust
   */
  public double expected(PrefixKeys prefixes) {
    return keys.isEmpty() ? 0 : believed(prefixes) * trust;
  }

  /**
   * Tells whether a prefix is believed to be there.
   *
   * @param key its key
   * @return true if so
   */
  public boolean holds(long key) {
    return keys.contains(key);
  }

  private void add(long key) {
    if (keys.remove(key)) {
      keys.add(key);
      return;
    }
    keys.add(key);
    index.add(key, owner);
    if (keys.size() > MAX_KEYS) {
      Iterator<Long> oldest = keys.iterator();
      long gone = oldest.next();
      oldest.remove();
      index.remove(gone, owner);
    }
  }

  private void remove(long key) {
    if (keys.remove(key)) {
      index.remove(key, owner);
    }
  }
}
