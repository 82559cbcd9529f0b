/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.lib;

/**
 * One life of an upstream: its name, and the start since which it has it.
 *
 * <p>An upstream that starts again under its name holds and knows nothing of before, so what is
 * believed of one life says nothing of another. Immutable and safe for use by several threads.
 *
 * @param name the name, never null
 * @param start the start, never null; a clock that was set back can make a later start the smaller
 *     one, so only equality tells lives apart
 * @since 0.1
 */
public record UpstreamLife(UpstreamName name, Incarnation start) {
  private static final long UNKNOWN = 0;

  /** The life of an upstream that has not told its start. */
  public static UpstreamLife unknownStart(UpstreamName name) {
    return new UpstreamLife(name, new Incarnation(UNKNOWN));
  }

  /** Whether the start is known. */
  public boolean hasStart() {
    return start.value() != UNKNOWN;
  }

  /** Written out, as what a record brings is slow until it has been compiled. */
  @Override
  public boolean equals(Object other) {
    return other instanceof UpstreamLife o && name.equals(o.name) && start.equals(o.start);
  }

  @Override
  public int hashCode() {
    return 31 * name.hashCode() + start.hashCode();
  }

  @Override
  public String toString() {
    return name + "@" + start;
  }
}
