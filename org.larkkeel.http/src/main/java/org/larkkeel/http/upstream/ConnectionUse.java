/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.upstream;

/**
 * The connections of a pool that a request may use.
 *
 * <p>An upstream may send an answer a second time, on the same connection, where the next answer is
 * expected. Which connections a request may use thus depends on how its answer is recognized.
 *
 * @since 0.1
 */
public sealed interface ConnectionUse {
  /** Only the connections for requests. */
  ConnectionUse REQUEST = new Request();

  /** Also the reserved connections: for cancels and polls, which free or protect capacity. */
  ConnectionUse CONTROL = new Control();

  /** A reserved connection for this request alone: for calls whose answers carry no id. */
  ConnectionUse EXCLUSIVE = new Exclusive();

  /** Only the connections for requests. */
  record Request() implements ConnectionUse {}

  /**
   * Only the connections for requests, and none that carried an earlier attempt with the same id:
   * answers are recognized by the id, so a repeated answer to that attempt would pass for one to
   * this.
   *
   * @param earlier the connections of the earlier attempts; gets the one that is used
   */
  record Attempt(CarriedBy earlier) implements ConnectionUse {}

  /** Any idle connection, or a new one, which may be a reserved one. */
  record Control() implements ConnectionUse {}

  /** A new connection, which may be a reserved one and is closed after the answer. */
  record Exclusive() implements ConnectionUse {}
}
