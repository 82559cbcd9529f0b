/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

/**
 * One incarnation of an upstream: its name and the number of the incarnation.
 *
 * <p>An upstream that was restarted under its name holds and knows nothing of its previous
 * incarnation, so the known state of one incarnation does not apply to another.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name, never null
 * @param incarnation the incarnation, never null; after a clock was set back, a later incarnation
 *     can have the smaller number, so incarnations are compared only for equality
 * @since 0.1
 */
public record UpstreamIncarnation(UpstreamName name, Incarnation incarnation) {
  private static final long UNKNOWN = 0;

  /** Returns the incarnation of an upstream that has not announced its number. */
  public static UpstreamIncarnation unknown(UpstreamName name) {
    return new UpstreamIncarnation(name, new Incarnation(UNKNOWN));
  }

  /** Returns whether the number of the incarnation is known. */
  public boolean isKnown() {
    return incarnation.value() != UNKNOWN;
  }

  /**
   * Implemented explicitly because the generated {@code equals} of a record is slow until it is
   * compiled.
   */
  @Override
  public boolean equals(Object other) {
    return other instanceof UpstreamIncarnation o
        && name.equals(o.name)
        && incarnation.equals(o.incarnation);
  }

  @Override
  public int hashCode() {
    return 31 * name.hashCode() + incarnation.hashCode();
  }

  @Override
  public String toString() {
    return name + "@" + incarnation;
  }
}
