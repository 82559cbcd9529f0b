/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import com.google.common.collect.ImmutableList;
import org.larkkeel.lib.ChangeId;
import org.larkkeel.lib.Revision;

/**
 * An atomic change of the configuration: either all of its operations are applied or none.
 *
 * <p>The log of accepted changes is the audit trail. Immutable and safe for use by several threads.
 *
 * @param id the unique id of the change
 * @param author the operator who made the change, taken from the bearer token
 * @param atMillis the time of the change, in milliseconds since the Unix epoch
 * @param reason the reason that the operator gave; may be empty
 * @param base the revision of the configuration that the author started from
 * @param operations the operations, in the order in which they are applied
 * @since 0.1
 */
public record Change(
    ChangeId id,
    String author,
    long atMillis,
    String reason,
    Revision base,
    ImmutableList<Operation> operations) {

  /**
   * Returns a copy with the author and time, which are set by the server and not by the client.
   *
   * @param newAuthor the author
   * @param newAtMillis the time, in milliseconds since the Unix epoch
   * @return the copy
   */
  public Change withAuthorAndTime(String newAuthor, long newAtMillis) {
    return new Change(id, newAuthor, newAtMillis, reason, base, operations);
  }
}
