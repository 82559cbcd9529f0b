/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.larkkeel.lib.HostName;

/**
 * What other nodes know of the build that began a stream.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param result the strongest answer; empty if no node has answered
 * @param witness what shows that the lists behind the answers are complete; {@link
 *     ListWitness#STORE} is not used
 * @param answered the nodes that have answered
 * @since 0.1
 */
public record StreamFinding(
    Optional<StreamLookup> result, ListWitness witness, ImmutableList<HostName> answered) {
  /** No node has answered. */
  public static final StreamFinding NONE =
      new StreamFinding(Optional.empty(), ListWitness.NONE, ImmutableList.of());
}
