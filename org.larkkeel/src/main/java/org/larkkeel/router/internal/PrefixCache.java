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
 * The known contents of the prefix cache of one upstream.
 *
 * <p>Events arrive late and with gaps, so predictions are weighted by the measured share of known
 * prefixes that prefills found in the cache. Invariant: at most {@link #MAX_KEYS} keys are kept;
 * the oldest are dropped first. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class PrefixCache {
  /** The maximum number of keys kept of one upstream. */
  public static final int MAX_KEYS = 512;

  private static final double ACCURACY_SMOOTHING = 0.1;
  private static final double MAX_ACCURACY_AFTER_GAP = 0.7;

  private final UpstreamState upstream;
  private final PrefixIndex index;
  private final LinkedHashSet<Long> keys = new LinkedHashSet<>();
  private Incarnation incarnation;

  /** The incarnation that ended with the last reported restart; null if none was reported. */
  private Incarnation endedIncarnation;

  private long sequence;
  private double accuracy = 1;

  /**
   * Creates an empty cache.
   *
   * @param upstream the upstream
   * @param index the index over all upstreams, which is updated with this object
   */
  public PrefixCache(UpstreamState upstream, PrefixIndex index) {
    this.upstream = upstream;
    this.index = index;
  }

  /**
   * Applies a published change; ignores a change that is older than the last one or belongs to an
   * earlier incarnation.
   *
   * @param changeIncarnation the incarnation of the engine
   * @param changeSequence the sequence number of the change
   * @param stored the keys that were stored
   * @param removed the keys that were removed
   */
  public void applyChange(
      Incarnation changeIncarnation,
      long changeSequence,
      ImmutableLongArray stored,
      ImmutableLongArray removed) {
    if (changeIncarnation.equals(endedIncarnation)
        || (incarnation != null && changeIncarnation.compareTo(incarnation) < 0)) {
      return;
    }
    if (!changeIncarnation.equals(incarnation)) {
      clear();
      incarnation = changeIncarnation;
    } else if (changeSequence <= sequence) {
      return;
    } else if (changeSequence > sequence + 1) {
      accuracy = Math.min(accuracy, MAX_ACCURACY_AFTER_GAP);
    }
    sequence = changeSequence;
    removed.forEach(this::remove);
    stored.forEach(this::add);
  }

  /**
   * Records the result of a prefill of this node.
   *
   * @param prefixes the prefixes of the prompt, which are now in the cache
   * @param known the number of tokens known to be in the cache before the prefill
   * @param found the number of tokens that the prefill found in the cache
   */
  public void recordPrefill(PrefixKeys prefixes, int known, int found) {
    if (known > 0) {
      accuracy += ACCURACY_SMOOTHING * (Math.min(1.0, (double) found / known) - accuracy);
    }
    prefixes.keys().forEach(this::add);
  }

  /**
   * Handles the restart of the engine: clears the contents and ignores later events of the previous
   * incarnation.
   *
   * @param newIncarnation the new incarnation, which can be smaller than the previous one
   */
  public void restarted(Incarnation newIncarnation) {
    if (!newIncarnation.equals(incarnation)) {
      clear();
      endedIncarnation = incarnation;
      incarnation = newIncarnation;
    }
  }

  /** Removes all keys and resets the weight of predictions. */
  public void clear() {
    keys.forEach(key -> index.remove(key, upstream));
    keys.clear();
    sequence = 0;
    accuracy = 1;
  }

  /**
   * Returns the number of tokens of a prompt whose prefixes are known to be cached, unweighted.
   *
   * @param prefixes the prefixes of the prompt
   * @return tokens
   */
  public int knownTokens(PrefixKeys prefixes) {
    int pieces = 0;
    while (pieces < prefixes.keys().length() && keys.contains(prefixes.keys().get(pieces))) {
      pieces++;
    }
    return pieces * PrefixKeys.PIECE_TOKENS;
  }

  /**
   * Returns the number of tokens of a prompt that a prefill is expected to find in the cache.
   *
   * @param prefixes the prefixes of the prompt
   * @return the known tokens, weighted by the measured accuracy
   */
  public double expectedTokens(PrefixKeys prefixes) {
    return keys.isEmpty() ? 0 : knownTokens(prefixes) * accuracy;
  }

  /**
   * Returns whether a prefix is known to be cached.
   *
   * @param key the key of the prefix
   * @return true if so
   */
  public boolean contains(long key) {
    return keys.contains(key);
  }

  private void add(long key) {
    if (keys.remove(key)) {
      keys.add(key);
      return;
    }
    keys.add(key);
    index.add(key, upstream);
    if (keys.size() > MAX_KEYS) {
      Iterator<Long> oldest = keys.iterator();
      long dropped = oldest.next();
      oldest.remove();
      index.remove(dropped, upstream);
    }
  }

  private void remove(long key) {
    if (keys.remove(key)) {
      index.remove(key, upstream);
    }
  }
}
