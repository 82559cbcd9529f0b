/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableSet;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamLife;

/**
 * A call that waits for room, as its node tells the node that gives room.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param call its id on its node
 * @param wireId what the caller calls it
 * @param service which upstreams may run it
 * @param units the tokens that it needs, above 0
 * @param prompt the tokens that are to be read elsewhere first; 0 for none
 * @param fresh whether its caller has not been refused before
 * @param begun whether its caller has the beginning of a stream that is to go on
 * @param waitedMillis how long ago it arrived
 * @param targetMillis within how long of its arrival it is on time
 * @param key names its prompt
 * @param without the upstreams that are out of the question
 * @since 0.1
 */
public record RoomAsk(
    RequestId call,
    String wireId,
    ServiceName service,
    long units,
    long prompt,
    boolean fresh,
    boolean begun,
    long waitedMillis,
    long targetMillis,
    PromptKey key,
    ImmutableSet<UpstreamLife> without) {
  /** Checks the numbers. */
  public RoomAsk {
    if (units <= 0 || prompt < 0 || waitedMillis < 0 || targetMillis < 0) {
      throw new IllegalArgumentException("a number of the ask for " + call + " is out of bounds");
    }
  }
}
