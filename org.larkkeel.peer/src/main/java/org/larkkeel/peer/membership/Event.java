/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.util.List;
import org.larkkeel.lib.Revision;

/**
 * An input of {@link Membership}. Times are nanoseconds of one monotonic clock.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface Event {

  /**
   * Returns the time of the event.
   *
   * @return nanoseconds
   */
  long now();

  /**
   * Time passed; due at {@link Membership#nextDeadline()}.
   *
   * @param now nanoseconds
   */
  record Tick(long now) implements Event {}

  /**
   * A message arrived.
   *
   * @param now nanoseconds
   * @param source the address that the reply is sent to
   * @param message the message
   */
  record Received(long now, NodeAddress source, Message message) implements Event {}

  /**
   * The platform's host list was read.
   *
   * @param now nanoseconds
   * @param hosts the complete list
   */
  record HostList(long now, List<HostEntry> hosts) implements Event {}

  /**
   * This node now holds a newer configuration.
   *
   * @param now nanoseconds
   * @param revision the revision that this node holds
   */
  record RevisionHeld(long now, Revision revision) implements Event {}

  /**
   * This node has a load record to publish.
   *
   * @param now nanoseconds
   * @param load the record
   */
  record LoadChanged(long now, LoadRecord load) implements Event {}

  /**
   * This node is leaving: it takes no new ownership from now on.
   *
   * @param now nanoseconds
   */
  record Leave(long now) implements Event {}

  /**
   * This node stops now, after it released all leases.
   *
   * @param now nanoseconds
   */
  record Stop(long now) implements Event {}
}
