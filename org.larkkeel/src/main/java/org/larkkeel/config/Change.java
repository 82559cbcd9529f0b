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
 * A change of the configuration, applied in whole or not at all.
 *
 * <p>The log of accepted changes is the audit trail. Immutable and safe for use by several threads.
 *
 * @param id tells the change from every other
 * @param author who made it, from the operator's token
 * @param atMillis when it was made, in milliseconds since the epoch
 * @param reason why it was made; may be empty
 * @param base the revision that the author had read
 * @param operations the steps, in order
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
   * Names the author and time, which the server decides and not the client.
   *
   * @param newAuthor the author
   * @param newAtMillis the time, in milliseconds since the epoch
   * @return a copy with both
   */
  public Change signedBy(String newAuthor, long newAtMillis) {
    return new Change(id, newAuthor, newAtMillis, reason, base, operations);
  }
}
