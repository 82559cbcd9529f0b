/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import java.util.Optional;

/**
 * What a node knows of the build that began a stream.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface StreamLookup {
  /** The stream was begun by this build. */
  record Known(BuildName build) implements StreamLookup {}

  /**
   * The stream is not known, but only this build has served its service for as long as a stream can
   * last.
   */
  record Sole(BuildName build) implements StreamLookup {}

  /**
   * The stream is not known, and this build is the only one that the node has found; but it has not
   * known the service for as long as a stream can last.
   */
  record Listed(BuildName build) implements StreamLookup {}

  /** The stream is not known, and several builds have served. */
  record Unknown() implements StreamLookup {}

  /** Returns the only build that the node knows to have served; empty if it knows more. */
  default Optional<BuildName> onlyBuild() {
    return switch (this) {
      case Sole s -> Optional.of(s.build());
      case Listed l -> Optional.of(l.build());
      case Known k -> Optional.empty();
      case Unknown u -> Optional.empty();
    };
  }
}
